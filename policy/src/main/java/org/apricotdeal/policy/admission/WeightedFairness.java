package org.apricotdeal.policy.admission;

/**
 * Start-time fair queueing with weights. A caller's start tag, its rank, advances by the cost of its requests divided by its
 * weight; virtual time is the largest tag served so far. A caller that was idle resumes at virtual time or at its own tag,
 * whichever is later. It gets no credit for idle time, and it is not penalised for capacity that it used while other
 * callers were idle, because virtual time advanced with its tag.
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
