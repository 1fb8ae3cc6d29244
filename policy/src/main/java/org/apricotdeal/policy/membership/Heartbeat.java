package org.apricotdeal.policy.membership;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;

/**
 * What one node tells another, about once a second.
 *
 * @param node the sender
 * @param failureDomain its failure domain
 * @param bootId changes with each start of the sender
 * @param sentMillis when it was sent, on the sender's clock; grows from one to the next
 * @param echoBootId boot id of the receiver that the next two refer to; empty where none is known
 * @param echoMillis {@code sentMillis} of the newest heartbeat that the sender has from the receiver, 0 where none: this
 *     one was made after that moment of the receiver's clock
 * @param ackIncarnation highest incarnation of the receiver's news that the sender has taken in
 * @param oldestAliveMillis greatest age of the sender's observations of VMs that it holds for alive
 * @param afterIncarnation the news hold everything after this incarnation; a receiver that has not taken in all up to it,
 *     because it has restarted, leaves them
 * @param news news of VMs with incarnations that the receiver has not acknowledged
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
        List<VmNews> news) {
    /** Copies the list. */
    public Heartbeat {
        news = List.copyOf(news);
    }
}
