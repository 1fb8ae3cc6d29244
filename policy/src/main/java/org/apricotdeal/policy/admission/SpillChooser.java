package org.apricotdeal.policy.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * Chooses the failure domain that a request is forwarded to: the one with more open streams of two drawn at random, less
 * what this node has forwarded there since the report, so that a lagging report draws no more than it promised.
 */
final class SpillChooser {
    private static final long MAX_AGE_MILLIS = 3_000;

    private final UniformRandomProvider random;
    private List<Option> options = List.of();

    /** A domain's report and what was forwarded since. */
    private static final class Option {
        private final DomainLoad load;
        private int forwarded;

        private Option(DomainLoad load, int forwarded) {
            this.load = load;
            this.forwarded = forwarded;
        }

        private int left() {
            return load.openStreams() - forwarded;
        }
    }

    SpillChooser(UniformRandomProvider random) {
        this.random = random;
    }

    void reported(List<DomainLoad> loads) {
        List<Option> changed = new ArrayList<>();
        for (DomainLoad load : loads) {
            changed.add(new Option(load, forwardedSince(load)));
        }
        options = changed;
    }

    Optional<FailureDomainId> choose(long nowMillis, UpstreamId upstream, ClassId classId) {
        List<Option> open = new ArrayList<>();
        for (Option option : options) {
            if (option.load.upstream().equals(upstream)
                    && option.load.classId().equals(classId)
                    && option.left() > 0
                    && nowMillis - option.load.takenMillis() <= MAX_AGE_MILLIS) {
                open.add(option);
            }
        }
        if (open.isEmpty()) {
            return Optional.empty();
        }
        Option first = open.get(random.nextInt(open.size()));
        Option second = open.get(random.nextInt(open.size()));
        Option chosen = second.left() > first.left() ? second : first;
        chosen.forwarded++;
        return Optional.of(chosen.load.failureDomain());
    }

    /** A report already known keeps its count; a newer one starts anew. */
    private int forwardedSince(DomainLoad load) {
        for (Option option : options) {
            if (option.load.equals(load)) {
                return option.forwarded;
            }
        }
        return 0;
    }
}
