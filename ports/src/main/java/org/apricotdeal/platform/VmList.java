package org.apricotdeal.platform;

import java.util.List;

import org.apricotdeal.kernel.result.Result;

/** The platform's list of live and leaving VMs; it lags behind the actual state. */
public interface VmList {
    /**
     * Reads the list.
     *
     * @return all VMs that the platform lists, or the cause of the failure
     */
    Result<List<Vm>, PlatformError> read();
}
