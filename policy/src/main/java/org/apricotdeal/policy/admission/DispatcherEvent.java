package org.apricotdeal.policy.admission;

import java.util.List;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.limits.ShareMessage;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetId;

/** What the dispatcher is told. */
public sealed interface DispatcherEvent {
    /**
     * A version of the catalogue is in force.
     *
     * @param catalogue the version
     */
    record CatalogueChanged(Catalogue catalogue) implements DispatcherEvent {}

    /**
     * The targets of the node's own failure domain have changed. Targets that are missing from the list get no new work;
     * requests in progress there go on until their attempts end.
     *
     * @param targets all targets of all upstreams
     */
    record CapacityChanged(List<Target> targets) implements DispatcherEvent {
        /** Copies the list. */
        public CapacityChanged {
            targets = List.copyOf(targets);
        }
    }

    /**
     * The entry nodes that hold shares of callers' limits have changed. These are the nodes that the settings or the VM
     * list name, whether they can be reached or not.
     *
     * @param nodes all nodes, this one too
     */
    record NodesChanged(List<NodeId> nodes) implements DispatcherEvent {
        /** Copies the list. */
        public NodesChanged {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * Other failure domains have reported their load.
     *
     * @param loads the last report of each reachable domain and upstream; what is missing gets no forwarded requests
     */
    record DomainsReported(List<DomainLoad> loads) implements DispatcherEvent {
        /** Copies the list. */
        public DomainsReported {
            loads = List.copyOf(loads);
        }
    }

    /**
     * A request has arrived.
     *
     * @param arrival the request
     */
    record Arrived(Arrival arrival) implements DispatcherEvent {}

    /**
     * A target has reported its load.
     *
     * @param target the target
     * @param running requests that it was decoding
     * @param waiting requests in its own queue
     * @param ageMillis how old the report is
     */
    record LoadReported(TargetId target, int running, int waiting, long ageMillis) implements DispatcherEvent {}

    /**
     * A target's prefix cache has changed, as reported late and with gaps.
     *
     * @param target the target
     * @param prefixHash hash of the prefix
     * @param stored true where it was stored, false where it was evicted
     */
    record CacheReported(TargetId target, long prefixHash, boolean stored) implements DispatcherEvent {}

    /**
     * Tokens of a request have come. May be sent for several tokens at a time.
     *
     * @param request the request
     * @param tokens tokens of the whole answer so far, over all attempts
     */
    record Progress(RequestId request, int tokens) implements DispatcherEvent {}

    /**
     * An attempt at a request, or its forwarding, has ended.
     *
     * @param request the request
     * @param outcome how it ended
     */
    record Finished(RequestId request, FinishOutcome outcome) implements DispatcherEvent {}

    /**
     * The caller has gone away. Where the request was dispatched, the owner cancels it at the target itself.
     *
     * @param request the request
     */
    record Cancelled(RequestId request) implements DispatcherEvent {}

    /**
     * Another node has sent a message about shares of callers' limits.
     *
     * @param from the node
     * @param message the message
     */
    record ShareReceived(NodeId from, ShareMessage message) implements DispatcherEvent {}

    /** Time has passed; sent every 10 to 50 ms. */
    record Tick() implements DispatcherEvent {}
}
