package org.apricotdeal.engine;

/**
 * A change of an engine's prefix cache. Events come late, and some never come: the sequence then has gaps.
 *
 * @param sequence number of the event, growing from 1 with each start of the engine
 * @param isStored true where the prefix is in the cache now, false where it was evicted
 * @param prefix name of the prefix, see {@link PromptPrefixes}
 */
public record CacheEvent(long sequence, boolean isStored, String prefix) {}
