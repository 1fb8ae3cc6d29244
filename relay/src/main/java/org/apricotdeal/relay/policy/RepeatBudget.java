package org.apricotdeal.relay.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds attempts beyond each request's first, over a sliding window. All nodes share the bound: a node counts its own
 * requests, and takes its part of the fixed allowance.
 */
public final class RepeatBudget {
    private final long windowMillis;
    private final double ratio;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();
    private double allowance;

    /**
     * Creates a budget.
     *
     * @param windowMillis length of the window
     * @param ratio repeats for each request in the window
     * @param allowance repeats in a window beside those, this node's part
     */
    public RepeatBudget(long windowMillis, double ratio, double allowance) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.allowance = allowance;
    }

    /**
     * Sets this node's part of the fixed allowance.
     *
     * @param repeats repeats in a window
     */
    public void setAllowance(double repeats) {
        allowance = repeats;
    }

    /**
     * Counts a request.
     *
     * @param nowMillis time
     */
    public void requested(long nowMillis) {
        requests.addLast(nowMillis);
        expire(nowMillis);
    }

    /**
     * Takes a repeat where there is room for one.
     *
     * @param nowMillis time
     * @return true where the request may be sent again
     */
    public boolean tryRepeat(long nowMillis) {
        expire(nowMillis);
        if (repeats.size() + 1 > allowance + ratio * requests.size()) {
            return false;
        }
        repeats.addLast(nowMillis);
        return true;
    }

    private void expire(long nowMillis) {
        removeBefore(requests, nowMillis - windowMillis);
        removeBefore(repeats, nowMillis - windowMillis);
    }

    private static void removeBefore(Deque<Long> times, long millis) {
        while (!times.isEmpty() && times.peekFirst() <= millis) {
            times.removeFirst();
        }
    }
}
