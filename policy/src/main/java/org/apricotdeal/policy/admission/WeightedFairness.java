package org.apricotdeal.policy.admission;

/**
 * Weighted fair queueing by start tags. A caller's tag advances by the cost of its requests divided by its weight; virtual
 * time is the tag of the caller served last. A caller that was idle starts at virtual time: it gets no credit for the time
 * in which it asked for nothing, and owes nothing for what it used while others were idle.
 */
final class WeightedFairness implements CallerFairness {
    private double virtualTime;

    @Override
    public void activated(CallerQueue queue) {
        queue.rank = Math.max(queue.rank, virtualTime);
    }

    @Override
    public void charged(long nowMillis, CallerQueue queue, double cost) {
        queue.rank += cost / queue.weight;
    }

    @Override
    public void served(CallerQueue queue) {
        virtualTime = Math.max(virtualTime, queue.rank);
    }
}
