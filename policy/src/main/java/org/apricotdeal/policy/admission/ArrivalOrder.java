package org.apricotdeal.policy.admission;

/** Baseline without fairness: all requests of a class share one caller queue, so ranks have no effect. */
final class ArrivalOrder implements CallerFairness {
    @Override
    public void activated(CallerQueue queue) {
        // There is only one queue.
    }

    @Override
    public void charged(long nowMillis, CallerQueue queue, double cost) {
        // There is only one queue.
    }

    @Override
    public void served(CallerQueue queue) {
        // There is only one queue.
    }
}
