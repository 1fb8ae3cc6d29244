package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.policy.PlannedOrder;
import org.apricotdeal.relay.port.OrderReply;

/** What the fleet duty takes note of. */
sealed interface FleetEvent {
    /** The store listed all VMs; those missing are removed at the given time unless they come back. */
    record ListedAll(List<UpstreamVm> vms, long removeAtMillis) implements FleetEvent {}

    /** A VM wrote its entry. */
    record Listed(UpstreamVm vm) implements FleetEvent {}

    /** A VM's entry is gone; the VM is removed at the given time unless the entry comes back. */
    record Removed(VmId vm, long removeAtMillis) implements FleetEvent {}

    /** A VM answered, or did not answer, a call for its state. */
    record Reported(VmId vm, Result<VmReport, String> report) implements FleetEvent {}

    /** VMs may be lost and should be asked for their state. */
    record Doubted(List<VmId> vms, String reason) implements FleetEvent {}

    /** An order was answered, or not. */
    record OrderAnswered(PlannerKey planner, PlannedOrder order, OrderReply reply) implements FleetEvent {}

    /** A catalogue came into force. */
    record CatalogueChanged(RelayCatalogue catalogue) implements FleetEvent {}

    /** The store's list of nodes was read. */
    record PeersListed(List<Peer> peers) implements FleetEvent {}

    /** A node sent a heartbeat and told which others it knows of; one that stops plans no more. */
    record Heartbeat(Peer sender, List<Seen> seen, boolean stopping) implements FleetEvent {}

    /** Another node told which VMs did not answer, and when. */
    record ToldSilent(Map<VmId, Long> missedMillis) implements FleetEvent {}

    /** Another node as told by a third one, and when it was heard. */
    record Seen(String name, long heardMillis, boolean stopping) {}

    /** This node stops: it plans no more. */
    record Stopping() implements FleetEvent {}
}
