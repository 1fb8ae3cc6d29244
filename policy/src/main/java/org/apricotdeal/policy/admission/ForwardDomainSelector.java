package org.apricotdeal.policy.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * Selects the failure domain that a request is forwarded to: of two domains drawn at random, the one with more open streams
 * remaining. Requests that this node forwarded since a domain's report count against the reported streams, so that a delayed
 * report does not attract more requests than the domain has open streams.
 */
final class ForwardDomainSelector {
    private static final long MAX_REPORT_AGE_MILLIS = 3_000;

    private final UniformRandomProvider random;
    private List<Candidate> candidates = List.of();

    /** A domain's report and the number of requests forwarded there since. */
    private static final class Candidate {
        private final DomainLoad load;
        private int forwarded;

        private Candidate(DomainLoad load, int forwarded) {
            this.load = load;
            this.forwarded = forwarded;
        }

        private int remaining() {
            return load.openStreams() - forwarded;
        }
    }

    ForwardDomainSelector(UniformRandomProvider random) {
        this.random = random;
    }

    void updateLoads(List<DomainLoad> loads) {
        List<Candidate> updated = new ArrayList<>();
        for (DomainLoad load : loads) {
            updated.add(new Candidate(load, forwardedSince(load)));
        }
        candidates = updated;
    }

    Optional<FailureDomainId> select(long nowMillis, UpstreamId upstream, ClassId classId) {
        List<Candidate> open = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.load.upstream().equals(upstream)
                    && candidate.load.classId().equals(classId)
                    && candidate.remaining() > 0
                    && nowMillis - candidate.load.asOfMillis() <= MAX_REPORT_AGE_MILLIS) {
                open.add(candidate);
            }
        }
        if (open.isEmpty()) {
            return Optional.empty();
        }
        Candidate first = open.get(random.nextInt(open.size()));
        Candidate second = open.get(random.nextInt(open.size()));
        Candidate chosen = second.remaining() > first.remaining() ? second : first;
        chosen.forwarded++;
        return Optional.of(chosen.load.failureDomain());
    }

    /** Returns the count of a report that is already known, and 0 for a new report. */
    private int forwardedSince(DomainLoad load) {
        for (Candidate candidate : candidates) {
            if (candidate.load.equals(load)) {
                return candidate.forwarded;
            }
        }
        return 0;
    }
}
