package org.apricotdeal.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.engine.PromptPrefixHashes;

/** Prompt prefixes in an engine's limited cache; the one not used for longest makes room. */
public final class PrefixCache {
    private static final int MAX_BLOCKS = 64;

    private final int capacity;
    private final CacheEventLog events;
    private final Map<String, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param capacity prefixes that fit
     * @param events takes what is stored and evicted
     */
    public PrefixCache(int capacity, CacheEventLog events) {
        this.capacity = capacity;
        this.events = events;
    }

    /**
     * Computes a prompt and stores its prefixes.
     *
     * @param prompt the prompt
     * @return the share of the prompt that was not in the cache, from 0 to 1
     */
    public synchronized double compute(String prompt) {
        List<String> names = PromptPrefixHashes.of(prompt, MAX_BLOCKS);
        int cached = 0;
        while (cached < names.size() && prefixes.get(names.get(cached)) != null) {
            cached++;
        }
        for (String name : names.subList(cached, names.size())) {
            store(name);
        }
        if (prompt.isEmpty()) {
            return 0;
        }
        return 1.0 - (double) cached * PromptPrefixHashes.BLOCK_CHARS / prompt.length();
    }

    /**
     * Tells how full the cache is.
     *
     * @return the used share, from 0 to 1
     */
    public synchronized double usedShare() {
        return capacity == 0 ? 0 : (double) prefixes.size() / capacity;
    }

    private void store(String name) {
        if (capacity == 0) {
            return;
        }
        if (prefixes.size() >= capacity) {
            Iterator<String> oldest = prefixes.keySet().iterator();
            String evicted = oldest.next();
            oldest.remove();
            events.add(CacheEventLog.Kind.EVICTED, evicted);
        }
        prefixes.put(name, true);
        events.add(CacheEventLog.Kind.STORED, name);
    }
}
