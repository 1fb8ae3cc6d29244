package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.MemoryUse;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.poison.CrashNews;

/** Events that the dispatcher handles. */
public sealed interface RelayEvent {
    /**
     * A request awaits admission.
     *
     * @param arrival the request
     */
    record RequestArrived(Arrival arrival) implements RelayEvent {}

    /**
     * The first bytes of an answer have arrived.
     *
     * @param attempt attempt that is answered
     * @param targetRequests running and waiting requests of all nodes at the target, if its VM has reported them
     */
    record AnswerStarted(AttemptId attempt, OptionalInt targetRequests) implements RelayEvent {
        /**
         * Creates the event of an answer that does not report the load of the target.
         *
         * @param attempt attempt that is answered
         */
        public AnswerStarted(AttemptId attempt) {
            this(attempt, OptionalInt.empty());
        }
    }

    /**
     * Of several running attempts of a request, one has had an answer first, which is passed to the caller.
     *
     * @param attempt attempt whose answer is used
     */
    record AnswerUsed(AttemptId attempt) implements RelayEvent {}

    /**
     * The caller has received its final answer, or the exchange has ended otherwise.
     *
     * @param attempt attempt that delivered the answer
     */
    record RequestFinished(AttemptId attempt) implements RelayEvent {}

    /**
     * An attempt has ended without a final answer.
     *
     * @param attempt attempt that failed
     * @param outcome how the attempt ended
     */
    record AttemptFailed(AttemptId attempt, AttemptOutcome outcome) implements RelayEvent {}

    /**
     * The caller has disconnected.
     *
     * @param id exchange of the caller
     */
    record CallerDisconnected(ExchangeId id) implements RelayEvent {}

    /**
     * A catalogue has come into force; its engine profiles provide the initial estimates of new queues.
     *
     * @param catalogue catalogue now in force
     */
    record CatalogueChanged(RelayCatalogue catalogue) implements RelayEvent {}

    /**
     * The set of targets has changed.
     *
     * @param targets all current targets
     */
    record TargetsChanged(List<Target> targets) implements RelayEvent {}

    /**
     * The other nodes have reported their running requests.
     *
     * @param running number of their requests at each target
     */
    record PeerLoadsChanged(Map<TargetId, Integer> running) implements RelayEvent {}

    /**
     * The operator has ordered or taken back the evacuation of failure domains.
     *
     * @param domains all failure domains that are being evacuated; their targets receive no requests
     */
    record EvacuationsChanged(Set<FailureDomainId> domains) implements RelayEvent {
        /** Copies the set. */
        public EvacuationsChanged {
            domains = Set.copyOf(domains);
        }
    }

    /**
     * A VM has become cold, or the VMs have changed that tolerate only a limited rate of requests while they are cold.
     *
     * @param vms all such VMs, cold or not
     */
    record ColdVmsChanged(Map<VmId, ColdVm> vms) implements RelayEvent {
        /** Copies the map. */
        public ColdVmsChanged {
            vms = Map.copyOf(vms);
        }
    }

    /**
     * A VM has reported the memory for the requests that it holds.
     *
     * @param vm VM that receives the requests of its targets
     * @param use requests of all nodes
     */
    record VmMemoryReported(VmId vm, MemoryUse use) implements RelayEvent {}

    /**
     * The registered nodes have been listed.
     *
     * @param nodes nodes of the fleet, including this one
     */
    record NodesChanged(List<FleetNode> nodes) implements RelayEvent {
        /** Copies the list. */
        public NodesChanged {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * A VM wants no requests from this node for a while.
     *
     * @param vm VM that receives the requests of its targets
     * @param untilMillis monotonic time until which it wants none
     */
    record VmPaused(VmId vm, long untilMillis) implements RelayEvent {}

    /**
     * Another node has reported the crashes that it knows of.
     *
     * @param news crashes and trials, with times on this node's monotonic clock
     */
    record CrashNewsReceived(CrashNews news) implements RelayEvent {}

    /** The process was suspended for a time that the monotonic clock did not count. */
    record ProcessSuspended() implements RelayEvent {}

    /**
     * The delay of this node has changed.
     *
     * @param extensionMillis time by which the silence of others has to last longer, since this node sees late what they do
     */
    record NodeDelayed(long extensionMillis) implements RelayEvent {}

    /** Periodic event for timeouts and stall detection. */
    record Tick() implements RelayEvent {}
}
