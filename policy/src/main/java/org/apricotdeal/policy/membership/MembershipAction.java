package org.apricotdeal.policy.membership;

import java.util.List;

import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Message;

/** What {@link Membership} asks its owner to do. */
public sealed interface MembershipAction {
    /**
     * Probe a VM; an answer comes back as {@link MembershipEvent.ProbeAnswered}, silence as nothing.
     *
     * @param vm the VM
     */
    record Probe(VmId vm) implements MembershipAction {}

    /**
     * Send a heartbeat.
     *
     * @param to the receiver
     * @param heartbeat the heartbeat
     */
    record SendHeartbeat(NodeId to, Heartbeat heartbeat) implements MembershipAction {}

    /**
     * Use the newest that is known of a VM from now on.
     *
     * @param report the report
     */
    record ReportVm(VmReport report) implements MembershipAction {}

    /**
     * Use the newest that is known of a node from now on.
     *
     * @param node the node
     * @param health its health
     */
    record ReportNode(NodeId node, Health health) implements MembershipAction {}

    /**
     * Put a change of state on the time line.
     *
     * @param message what happened
     * @param arguments values for the message's template
     */
    record RecordEvent(Message message, List<String> arguments) implements MembershipAction {
        /** Copies the list. */
        public RecordEvent {
            arguments = List.copyOf(arguments);
        }
    }
}
