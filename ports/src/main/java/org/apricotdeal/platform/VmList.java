package org.apricotdeal.platform;

import java.util.List;

import org.apricotdeal.kernel.result.Result;

/** The platform's list of live and leaving VMs; it lags behind the truth. */
public interface VmList {
    /**
     * Reads the list.
     *
     * @return all VMs that the platform knows, or why the list could not be read
     */
    Result<List<Vm>, PlatformError> read();
}
