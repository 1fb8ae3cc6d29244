package org.apricotdeal.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apricotdeal.kernel.result.Result;

/** Reads the prefix cache events of engines. */
public interface CacheEventReader {
    /**
     * Reads events without blocking.
     *
     * @param address address of the VM as {@code host:port}
     * @param after sequence number of the last known event, or 0
     * @param timeoutMillis timeout in milliseconds
     * @return the later events in order of their sequence numbers, or the cause of the failure
     */
    CompletableFuture<Result<List<CacheEvent>, String>> cacheEvents(String address, long after, long timeoutMillis);
}
