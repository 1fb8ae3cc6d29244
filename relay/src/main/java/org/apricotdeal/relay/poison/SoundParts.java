package org.apricotdeal.relay.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.apricotdeal.relay.model.PromptPartId;

/** When this node last saw an answer to a prompt with each part. Bounded: the parts answered longest ago are dropped. */
final class SoundParts {
    private static final int MAX_PARTS = 8_192;

    private final Map<PartTrial.Key, Long> answeredMillis = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartTrial.Key, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    void record(ModelRelease served, PromptPartId part, long nowMillis) {
        answeredMillis.put(new PartTrial.Key(served, part), nowMillis);
    }

    OptionalLong lastAnsweredMillis(ModelRelease served, PromptPartId part) {
        Long atMillis = answeredMillis.get(new PartTrial.Key(served, part));
        return atMillis == null ? OptionalLong.empty() : OptionalLong.of(atMillis);
    }

    void clear() {
        answeredMillis.clear();
    }
}
