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
     * @param tried VMs that earlier attempts went to
     * @return a VM that is not among them, or nothing where there is none
     */
    Optional<VmId> select(Set<VmId> tried);
}
