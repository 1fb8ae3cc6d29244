package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.OptionalLong;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;

/**
 * A destination for requests.
 *
 * @param id identifies the target
 * @param queue queue of the requests that it serves
 * @param address host and port
 * @param release software release of the VM that receives the requests; empty if it reports none
 * @param failureDomain failure domain of the VM that receives the requests
 * @param slots maximum number of concurrent requests
 * @param members all VMs that the target depends on; the first receives the requests
 * @param memoryTokens tokens of the requests that it can hold at once; empty if that is not known
 */
public record Target(
        TargetId id,
        QueueId queue,
        String address,
        String release,
        FailureDomainId failureDomain,
        int slots,
        List<VmId> members,
        OptionalLong memoryTokens) {
    /** Copies the list. */
    public Target {
        members = List.copyOf(members);
    }
}
