package org.apricotdeal.policy.membership;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;

/**
 * Message that a node sends to each peer, about once a second within a failure domain.
 *
 * @param node the sender
 * @param failureDomain failure domain of the sender
 * @param bootId changes with each start of the sender
 * @param sentMillis time at which it was sent, on the sender's clock; increases with each heartbeat
 * @param echoBootId boot id of the receiver to which {@code echoMillis} and {@code ackIncarnation} refer; empty if unknown
 * @param echoMillis {@code sentMillis} of the newest heartbeat that the sender has received from the receiver, or 0 if none;
 *     this heartbeat was created after that time on the receiver's clock
 * @param ackIncarnation highest incarnation of the receiver's updates that the sender has applied
 * @param oldestAliveMillis greatest age of the sender's observations of VMs that it considers alive
 * @param afterIncarnation the updates include all changes after this incarnation; a receiver that has not applied all
 *     earlier ones, because it has restarted, ignores the updates
 * @param vmUpdates updates on VMs with incarnations that the receiver has not acknowledged
 */
public record Heartbeat(
        NodeId node,
        FailureDomainId failureDomain,
        String bootId,
        long sentMillis,
        String echoBootId,
        long echoMillis,
        long ackIncarnation,
        long oldestAliveMillis,
        long afterIncarnation,
        List<VmUpdate> vmUpdates) {
    /** Copies the list. */
    public Heartbeat {
        vmUpdates = List.copyOf(vmUpdates);
    }
}
