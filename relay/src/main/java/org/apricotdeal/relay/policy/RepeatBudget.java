package org.apricotdeal.relay.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds attempts beyond each request's first, over a sliding window. All nodes share the bound: a node counts its own
 * requests, and takes an equal part of the fixed allowance.
 */
public final class RepeatBudget {
    private final long windowMillis;
    private final double ratio;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();
    private final double allowance;
    private final int leastNodes;
    private int nodes;

    /**
     * Creates a budget.
     *
     * @param windowMillis length of the window
     * @param ratio repeats for each request in the window
     * @param allowance repeats in a window beside those, over all nodes
     * @param leastNodes number of nodes that share the allowance at least; those that cannot be seen take their part too
     */
    public RepeatBudget(long windowMillis, double ratio, double allowance, int leastNodes) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.allowance = allowance;
        this.leastNodes = leastNodes;
        this.nodes = leastNodes;
    }

    /**
     * Sets how many nodes share the allowance.
     *
     * @param registered number of registered nodes, this one among them
     */
    public void setNodes(int registered) {
        nodes = Math.max(leastNodes, registered);
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
        if (repeats.size() + 1 > allowance / nodes + ratio * requests.size()) {
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
