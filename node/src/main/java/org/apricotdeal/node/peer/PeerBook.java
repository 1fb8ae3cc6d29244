package org.apricotdeal.node.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.platform.Vm;

/** Addresses of the other nodes, as the VM list and their own messages tell them. */
public final class PeerBook {
    /** Upstream under which the VM list names the system's own VMs. */
    public static final String ENTRY_UPSTREAM = "entry";

    private final NodeId self;
    private final Map<NodeId, Peer> peers = new ConcurrentSkipListMap<>();

    /**
     * Another node.
     *
     * @param node the node
     * @param failureDomain its failure domain
     * @param address host and port of its peer port
     */
    public record Peer(NodeId node, FailureDomainId failureDomain, String address) {}

    /**
     * Creates an empty book.
     *
     * @param self this node, which is never listed
     */
    public PeerBook(NodeId self) {
        this.self = self;
    }

    /**
     * Takes the nodes of a VM list.
     *
     * @param vms all VMs
     */
    public void takeList(List<Vm> vms) {
        for (Vm vm : vms) {
            if (vm.upstream().value().equals(ENTRY_UPSTREAM)) {
                add(new Peer(new NodeId(vm.id().value()), vm.failureDomain(), vm.address()));
            }
        }
    }

    /**
     * Adds a node or changes its address.
     *
     * @param peer the node
     */
    public void add(Peer peer) {
        if (!peer.node().equals(self)) {
            peers.put(peer.node(), peer);
        }
    }

    /**
     * Finds a node.
     *
     * @param node the node
     * @return its address, or nothing
     */
    public Optional<Peer> find(NodeId node) {
        return Optional.ofNullable(peers.get(node));
    }

    /**
     * Returns all other nodes.
     *
     * @return the nodes, sorted by name
     */
    public List<Peer> all() {
        return new ArrayList<>(peers.values());
    }

    /**
     * Returns the other nodes of a failure domain.
     *
     * @param failureDomain the failure domain
     * @return the nodes, sorted by name
     */
    public List<Peer> of(FailureDomainId failureDomain) {
        List<Peer> found = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.failureDomain().equals(failureDomain)) {
                found.add(peer);
            }
        }
        return found;
    }
}
