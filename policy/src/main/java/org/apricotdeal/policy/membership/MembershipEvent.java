package org.apricotdeal.policy.membership;

import java.util.List;

import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;

/** An input of {@link Membership}. */
public sealed interface MembershipEvent {
    /** Drives actions that depend on time; sent several times a second. */
    record Tick() implements MembershipEvent {}

    /**
     * The list of upstream VMs was read.
     *
     * @param vms all upstream VMs of this node's failure domain
     */
    record VmsListed(List<VmId> vms) implements MembershipEvent {}

    /**
     * The list of other nodes was read.
     *
     * @param peers all nodes except this one, including those of other failure domains
     */
    record PeersListed(List<PeerNode> peers) implements MembershipEvent {}

    /**
     * A new version of the catalogue's policy settings is in force.
     *
     * @param policy the new settings
     */
    record PolicyChanged(PolicyEntry policy) implements MembershipEvent {}

    /**
     * A VM has answered a probe.
     *
     * @param vm the VM that answered
     * @param sentMillis time at which the probe was sent, on the clock of the state machine's steps
     * @param state state of the VM's engine; null for a plain service
     */
    record ProbeAnswered(VmId vm, long sentMillis, EngineState state) implements MembershipEvent {}

    /**
     * A heartbeat was received.
     *
     * @param heartbeat the received heartbeat
     */
    record HeartbeatReceived(Heartbeat heartbeat) implements MembershipEvent {}
}
