package org.apricotdeal.policy.admission;

/** Baseline: no fairness; the class keeps all its requests in one queue, so that callers have no rank. */
final class ArrivalOrder implements CallerFairness {
    @Override
    public void activated(CallerQueue queue) {
        // One queue only.
    }

    @Override
    public void charged(long nowMillis, CallerQueue queue, double cost) {
        // One queue only.
    }

    @Override
    public void served(CallerQueue queue) {
        // One queue only.
    }
}
