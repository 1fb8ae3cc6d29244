package org.apricotdeal.relay.model;

/**
 * Memory of a VM for the requests that it holds.
 *
 * @param inUseTokens tokens that it holds now
 * @param limitTokens tokens that it can hold
 */
public record MemoryUse(long inUseTokens, long limitTokens) {
    /** Checks the counts. */
    public MemoryUse {
        if (inUseTokens < 0 || limitTokens < 0) {
            throw new IllegalArgumentException("negative number of tokens");
        }
    }
}
