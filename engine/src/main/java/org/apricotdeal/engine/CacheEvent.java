package org.apricotdeal.engine;

/**
 * A change of an engine's prefix cache. Events arrive with a delay, and some are lost, which leaves gaps in the sequence.
 *
 * @param sequence number of the event; starts again from 1 with each start of the engine
 * @param isStored true if the prefix was stored in the cache, false if it was evicted
 * @param prefix hash of the prefix, see {@link PromptPrefixHashes}
 */
public record CacheEvent(long sequence, boolean isStored, String prefix) {}
