package org.apricotdeal.relay.policy;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;

/**
 * What requests can be sent to.
 *
 * @param id the target
 * @param queue requests that it serves
 * @param address host and port
 * @param failureDomain failure domain of the VM that takes the requests
 * @param slots requests that it works on at once
 * @param members all VMs that it needs, the one that takes requests first
 */
public record Target(
        TargetId id, QueueId queue, String address, FailureDomainId failureDomain, int slots, List<VmId> members) {
    /** Copies the list. */
    public Target {
        members = List.copyOf(members);
    }
}
