package org.apricotdeal.policy.admission;

import java.util.List;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.limits.ShareMessage;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetId;

/** Inputs of the dispatcher. */
public sealed interface DispatcherEvent {
    /**
     * A new version of the catalogue is in force.
     *
     * @param catalogue the version in force
     */
    record CatalogueChanged(Catalogue catalogue) implements DispatcherEvent {}

    /**
     * The targets of the node's own failure domain have changed. Targets that are missing from the list get no new
     * requests; requests in progress there continue until their attempts end.
     *
     * @param targets all targets of all upstreams in the failure domain
     */
    record CapacityChanged(List<Target> targets) implements DispatcherEvent {
        /** Copies the list. */
        public CapacityChanged {
            targets = List.copyOf(targets);
        }
    }

    /**
     * The entry nodes that hold shares of callers' limits have changed. These are the nodes listed in the settings or in
     * the VM list, whether they are reachable or not.
     *
     * @param nodes all nodes, including this one
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
     * @param loads the last report of each reachable domain and upstream; no requests are forwarded to those missing here
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
     * @param arrival the request and its deadline, size and class
     */
    record Arrived(Arrival arrival) implements DispatcherEvent {}

    /**
     * A target has reported its load.
     *
     * @param target target that sent the report
     * @param running requests that the target was decoding
     * @param waiting requests in the target's own queue
     * @param ageMillis age of the report
     */
    record LoadReported(TargetId target, int running, int waiting, long ageMillis) implements DispatcherEvent {}

    /**
     * A target's prefix cache has changed. These reports are delayed, and some of them are lost.
     *
     * @param target target that owns the cache
     * @param prefixHash hash of the prefix
     * @param stored true if it was stored, false if it was evicted
     */
    record CacheReported(TargetId target, long prefixHash, boolean stored) implements DispatcherEvent {}

    /**
     * Tokens of a request were received. One event may report several tokens.
     *
     * @param request the request
     * @param tokens tokens of the answer received so far, over all attempts
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
     * The caller has disconnected. If the request was dispatched, the dispatcher's owner cancels it at the target.
     *
     * @param request the request
     */
    record Cancelled(RequestId request) implements DispatcherEvent {}

    /**
     * A message about shares of callers' limits was received from a different node.
     *
     * @param from the sending node
     * @param message the message
     */
    record ShareReceived(NodeId from, ShareMessage message) implements DispatcherEvent {}

    /** Timer event, sent every 10 to 50 ms. */
    record Tick() implements DispatcherEvent {}
}
