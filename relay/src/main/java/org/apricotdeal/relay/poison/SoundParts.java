package org.apricotdeal.relay.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** When this node last saw an answer to a prompt with each part. Bounded: the parts answered longest ago are dropped. */
final class SoundParts {
    private static final int MAX_PARTS = 8_192;

    private final Map<ServedPart, Long> answeredMillis = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServedPart, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    void record(ServedPart part, long nowMillis) {
        answeredMillis.put(part, nowMillis);
    }

    OptionalLong lastAnsweredMillis(ServedPart part) {
        Long atMillis = answeredMillis.get(part);
        return atMillis == null ? OptionalLong.empty() : OptionalLong.of(atMillis);
    }

    void clear() {
        answeredMillis.clear();
    }
}
