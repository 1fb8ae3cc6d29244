package org.apricotdeal.node.peer;

import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;

/** Provides the messaging between nodes: the address book, the client and the route on the peer port. */
public final class PeerPlugin implements NodePlugin {
    @Override
    public String name() {
        return "peer";
    }

    @Override
    public void register(NodeKernel kernel) {
        PeerDirectory book = new PeerDirectory(kernel.settings().node().id());
        kernel.offer(PeerDirectory.class, book);
        kernel.offer(PeerClient.class, new PeerClient(kernel));
        kernel.peerRoute(PeerClient.PATH, new PeerHandler(kernel));
        kernel.subscribe(event -> {
            if (event instanceof NodeEvent.VmsListed(var vms)) {
                book.updateFromVmList(vms);
            }
        });
    }
}
