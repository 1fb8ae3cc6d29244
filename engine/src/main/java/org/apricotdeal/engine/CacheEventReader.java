package org.apricotdeal.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apricotdeal.kernel.result.Result;

/** Reads the cache events of engines. */
public interface CacheEventReader {
    /**
     * Reads events; never blocks.
     *
     * @param address host and port of the VM
     * @param after sequence number of the last event known, 0 for none
     * @param timeoutMillis longest time to wait
     * @return the events after that number, in order, or why there are none
     */
    CompletableFuture<Result<List<CacheEvent>, String>> cacheEvents(String address, long after, long timeoutMillis);
}
