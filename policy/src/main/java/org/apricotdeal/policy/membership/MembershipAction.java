package org.apricotdeal.policy.membership;

import java.util.List;

import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Message;

/** An action that {@link Membership} requests from its owner. */
public sealed interface MembershipAction {
    /**
     * Probe a VM. An answer is passed on as {@link MembershipEvent.ProbeAnswered}; a missing answer causes no event.
     *
     * @param vm the VM to probe
     */
    record Probe(VmId vm) implements MembershipAction {}

    /**
     * Send a heartbeat.
     *
     * @param to node that receives the heartbeat
     * @param heartbeat the heartbeat to send
     */
    record SendHeartbeat(NodeId to, Heartbeat heartbeat) implements MembershipAction {}

    /**
     * Use this report on a VM from now on.
     *
     * @param report the newest report on the VM
     */
    record ReportVm(VmReport report) implements MembershipAction {}

    /**
     * Use this health of a node from now on.
     *
     * @param node the node
     * @param health newest health of the node
     */
    record ReportNode(NodeId node, Health health) implements MembershipAction {}

    /**
     * Record a change of state in the event timeline.
     *
     * @param message kind of event
     * @param arguments values for the message's template
     */
    record RecordEvent(Message message, List<String> arguments) implements MembershipAction {
        /** Copies the list. */
        public RecordEvent {
            arguments = List.copyOf(arguments);
        }
    }
}
