package org.apricotdeal.policy.membership;

import java.util.List;

import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;

/** What {@link Membership} is told. */
public sealed interface MembershipEvent {
    /** Time has passed; sent several times a second. */
    record Tick() implements MembershipEvent {}

    /**
     * The upstream VMs of the own failure domain are known.
     *
     * @param vms the VMs
     */
    record VmsListed(List<VmId> vms) implements MembershipEvent {}

    /**
     * The other nodes are known, those of other failure domains included.
     *
     * @param peers the nodes, without this one
     */
    record PeersListed(List<PeerNode> peers) implements MembershipEvent {}

    /**
     * Settings of the catalogue came into force.
     *
     * @param policy the settings
     */
    record PolicyChanged(PolicyEntry policy) implements MembershipEvent {}

    /**
     * A VM has answered a probe.
     *
     * @param vm the VM
     * @param sentMillis when the probe was sent, on the clock of the machine's steps
     * @param state its engine's state; null for a plain service
     */
    record ProbeAnswered(VmId vm, long sentMillis, EngineState state) implements MembershipEvent {}

    /**
     * A heartbeat has arrived.
     *
     * @param heartbeat the heartbeat
     */
    record HeartbeatReceived(Heartbeat heartbeat) implements MembershipEvent {}
}
