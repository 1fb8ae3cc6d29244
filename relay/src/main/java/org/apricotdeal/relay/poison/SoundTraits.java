package org.apricotdeal.relay.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When this node last saw an answer to a request with each trait. Bounded: those answered longest ago are dropped. Digests of
 * whole requests are kept apart, since nearly every request brings a new one.
 */
final class SoundTraits {
    private static final int MAX_PARTS = 8_192;
    private static final int MAX_DIGESTS = 4_096;

    private final Map<ServedTrait, Long> partMillis = boundedMap(MAX_PARTS);
    private final Map<ServedTrait, Long> digestMillis = boundedMap(MAX_DIGESTS);

    private static Map<ServedTrait, Long> boundedMap(int maxSize) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<ServedTrait, Long> eldest) {
                return size() > maxSize;
            }
        };
    }

    private Map<ServedTrait, Long> answeredMillis(ServedTrait trait) {
        return trait.trait().isWholeRequest() ? digestMillis : partMillis;
    }

    void record(ServedTrait trait, long nowMillis) {
        answeredMillis(trait).put(trait, nowMillis);
    }

    OptionalLong lastAnsweredMillis(ServedTrait trait) {
        Long atMillis = answeredMillis(trait).get(trait);
        return atMillis == null ? OptionalLong.empty() : OptionalLong.of(atMillis);
    }

    void clear() {
        partMillis.clear();
        digestMillis.clear();
    }
}
