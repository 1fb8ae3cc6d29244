package org.apricotdeal.policy.call;

import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.VmId;

/** Chooses the VM of the next attempt. */
@FunctionalInterface
public interface VmSelector {
    /**
     * Chooses a VM.
     *
     * @param tried VMs that earlier attempts were sent to
     * @return a VM that is not among them, or empty if there is none
     */
    Optional<VmId> select(Set<VmId> tried);
}
