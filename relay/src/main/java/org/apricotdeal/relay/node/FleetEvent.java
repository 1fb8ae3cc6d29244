package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.peer.HeardNodes;
import org.apricotdeal.relay.policy.PlannedOrder;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.relay.port.OrderReply;

/** Event that is processed by the {@link FleetDuty}. */
sealed interface FleetEvent {
    /** The store listed all VMs; known VMs that are missing are removed at the given time unless they register again. */
    record AllVmsListed(List<UpstreamVm> vms, long removeAtMillis) implements FleetEvent {}

    /** A VM wrote its entry in the store. */
    record VmListed(UpstreamVm vm) implements FleetEvent {}

    /** The entry of a VM was deleted; the VM is removed at the given time unless it registers again. */
    record VmRemoved(VmId vm, long removeAtMillis) implements FleetEvent {}

    /** A VM reported its state, or did not reply. */
    record VmReported(VmId vm, Result<VmReport, String> report) implements FleetEvent {}

    /** VMs may have failed and must be polled for their state; only one of them if its address is known. */
    record VmsSuspected(List<VmId> vms, Optional<String> faultyAddress, String reason) implements FleetEvent {}

    /** A VM said in a response to a request that it leaves. */
    record VmLeaves(TargetId target) implements FleetEvent {}

    /** A VM replied to an order, or did not reply. */
    record OrderReplied(PlannerKey planner, PlannedOrder order, OrderReply reply) implements FleetEvent {}

    /** A catalogue came into force. */
    record CatalogueChanged(RelayCatalogue catalogue) implements FleetEvent {}

    /** The operator's words are known, and these failure domains are being evacuated: all of them. */
    record EvacuationsChanged(Set<FailureDomainId> domains) implements FleetEvent {}

    /** The nodes registered in the store were listed. */
    record PeersListed(List<Peer> peers) implements FleetEvent {}

    /** Heartbeats show that the known nodes are all nodes, and that they are there. */
    record PeersConfirmed() implements FleetEvent {}

    /** A node sent a heartbeat with the other nodes that it knows; a stopping node no longer plans. */
    record HeartbeatReceived(Peer sender, OptionalLong sentMillis, List<NodeSeen> seen, boolean stopping)
            implements FleetEvent {
        /** A heartbeat of a node that does not tell when it sent it. */
        HeartbeatReceived(Peer sender, List<NodeSeen> seen, boolean stopping) {
            this(sender, OptionalLong.empty(), seen, stopping);
        }
    }

    /** A peer reported unresponsive VMs with the times of their last missed calls. */
    record PeerReportedUnresponsive(Map<VmId, Long> missedMillis) implements FleetEvent {}

    /** A node as reported by a peer, with its last heartbeat. */
    record NodeSeen(String name, HeardNodes.Heard heartbeat, boolean stopping) {}

    /** This node is stopping and no longer plans. */
    record Stopping() implements FleetEvent {}
}
