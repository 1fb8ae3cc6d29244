package org.apricotdeal.engine;

import java.util.concurrent.CompletableFuture;

/** Calls to plain services. */
public interface ServiceClient {
    /**
     * Sends a request once, without retries.
     *
     * @param address address of the VM as {@code host:port}
     * @param request the request
     * @param timeoutMillis timeout in milliseconds for the whole answer
     * @return outcome of the request; never completes exceptionally
     */
    CompletableFuture<ServiceOutcome> call(String address, ServiceRequest request, long timeoutMillis);
}
