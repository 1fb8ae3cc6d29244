package org.apricotdeal.node.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.platform.Vm;

/** Addresses of the other nodes, taken from the VM list and from the messages of these nodes. */
public final class PeerDirectory {
    /** Upstream under which the VM list reports the VMs that run apricotdeal nodes. */
    public static final String NODE_UPSTREAM = "entry";

    private final NodeId self;
    private final Map<NodeId, Peer> peers = new ConcurrentSkipListMap<>();

    /**
     * Another node.
     *
     * @param node id of the node
     * @param failureDomain the node's failure domain
     * @param address host and port for messages from other nodes
     */
    public record Peer(NodeId node, FailureDomainId failureDomain, String address) {}

    /**
     * Creates an empty address book.
     *
     * @param self id of this node, which is never added
     */
    public PeerDirectory(NodeId self) {
        this.self = self;
    }

    /**
     * Adds the nodes of a VM list or changes their addresses. Nodes that are missing from the list are kept.
     *
     * @param vms all VMs of the list, of any upstream
     */
    public void updateFromVmList(List<Vm> vms) {
        for (Vm vm : vms) {
            if (vm.upstream().value().equals(NODE_UPSTREAM)) {
                add(new Peer(new NodeId(vm.id().value()), vm.failureDomain(), vm.address()));
            }
        }
    }

    /**
     * Adds a node or changes its address.
     *
     * @param peer the node; ignored if it is this node
     */
    public void add(Peer peer) {
        if (!peer.node().equals(self)) {
            peers.put(peer.node(), peer);
        }
    }

    /**
     * Finds a node.
     *
     * @param node id of the node
     * @return the node, or empty if it is unknown
     */
    public Optional<Peer> find(NodeId node) {
        return Optional.ofNullable(peers.get(node));
    }

    /**
     * Returns all other nodes.
     *
     * @return the nodes, sorted by id
     */
    public List<Peer> all() {
        return new ArrayList<>(peers.values());
    }

    /**
     * Returns the other nodes of a failure domain.
     *
     * @param failureDomain id of the failure domain
     * @return the nodes, sorted by id
     */
    public List<Peer> inFailureDomain(FailureDomainId failureDomain) {
        List<Peer> result = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.failureDomain().equals(failureDomain)) {
                result.add(peer);
            }
        }
        return result;
    }
}
