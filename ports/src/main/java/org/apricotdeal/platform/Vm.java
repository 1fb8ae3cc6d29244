package org.apricotdeal.platform;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/**
 * An entry of the platform's list of VMs.
 *
 * @param id id of the VM
 * @param failureDomain its failure domain
 * @param fabricDomain its fabric domain
 * @param upstream the upstream whose engine or service runs on it; {@code entry} for VMs of the system itself
 * @param address host and port, such as {@code 127.0.0.1:9001}
 * @param accelerators number of accelerators of the VM
 * @param state whether the VM is live or leaving
 */
public record Vm(
        VmId id,
        FailureDomainId failureDomain,
        FabricDomainId fabricDomain,
        UpstreamId upstream,
        String address,
        int accelerators,
        VmState state) {}
