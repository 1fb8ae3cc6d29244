package org.apricotdeal.relay.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** When this node last saw an answer to a request with each trait. Bounded: those answered longest ago are dropped. */
final class SoundTraits {
    private static final int MAX_PARTS = 8_192;

    private final Map<ServedTrait, Long> answeredMillis = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServedTrait, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    void record(ServedTrait trait, long nowMillis) {
        answeredMillis.put(trait, nowMillis);
    }

    OptionalLong lastAnsweredMillis(ServedTrait trait) {
        Long atMillis = answeredMillis.get(trait);
        return atMillis == null ? OptionalLong.empty() : OptionalLong.of(atMillis);
    }

    void clear() {
        answeredMillis.clear();
    }
}
