package org.apricotdeal.relay.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * Bounds attempts beyond each request's first, for each upstream over a sliding window. All nodes share the bound: a node
 * counts its own requests, and takes an equal part of the fixed allowance. A node that is no longer counted may still be
 * sending, and what it sent stays in the window; so its part is free only after a window.
 */
public final class RetryBudget {
    private final long windowMillis;
    private final double ratio;
    private final double allowance;
    private final int minNodes;
    private final Map<UpstreamId, Window> windows = new HashMap<>();
    private final Deque<NodeCount> nodeCounts = new ArrayDeque<>();

    /** What was sent to an upstream within the window. */
    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();
    }

    /** A number of nodes, and until when it was counted. */
    private record NodeCount(int nodes, long untilMillis) {}

    /**
     * Creates a budget.
     *
     * @param windowMillis length of the window
     * @param ratio repeats for each request in the window
     * @param allowance repeats in a window beside those, over all nodes
     * @param leastNodes number of nodes that share the allowance at least; those that cannot be seen take their part too
     */
    public RetryBudget(long windowMillis, double ratio, double allowance, int leastNodes) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.allowance = allowance;
        this.minNodes = leastNodes;
    }

    /**
     * Sets how many nodes share the allowance.
     *
     * @param registered number of registered nodes, this one among them
     * @param nowMillis time
     */
    public void setNodeCount(int registered, long nowMillis) {
        while (!nodeCounts.isEmpty() && nodeCounts.peekLast().nodes() <= registered) {
            nodeCounts.removeLast();
        }
        nodeCounts.addLast(new NodeCount(registered, nowMillis));
    }

    /**
     * Sets how many nodes are taken to share the allowance until they have been counted.
     *
     * @param guessed number of nodes
     */
    public void assumeNodeCount(int guessed) {
        nodeCounts.addFirst(new NodeCount(guessed, Long.MIN_VALUE / 2));
    }

    /** Returns the largest number of nodes that was counted within the window or last. */
    private int nodeCount(long nowMillis) {
        while (nodeCounts.size() > 1 && nodeCounts.peekFirst().untilMillis() <= nowMillis - windowMillis) {
            nodeCounts.removeFirst();
        }
        return Math.max(
                minNodes, nodeCounts.isEmpty() ? 0 : nodeCounts.peekFirst().nodes());
    }

    /**
     * Counts a request.
     *
     * @param upstream where it goes
     * @param nowMillis time
     */
    public void recordRequest(UpstreamId upstream, long nowMillis) {
        window(upstream, nowMillis).requests.addLast(nowMillis);
    }

    /**
     * Takes a repeat where there is room for one.
     *
     * @param upstream where it goes
     * @param nowMillis time
     * @return true where the request may be sent again
     */
    public boolean tryRetry(UpstreamId upstream, long nowMillis) {
        Window window = window(upstream, nowMillis);
        if (window.retries.size() + 1 > allowance / nodeCount(nowMillis) + ratio * window.requests.size()) {
            return false;
        }
        window.retries.addLast(nowMillis);
        return true;
    }

    private Window window(UpstreamId upstream, long nowMillis) {
        Window window = windows.computeIfAbsent(upstream, id -> new Window());
        removeBefore(window.requests, nowMillis - windowMillis);
        removeBefore(window.retries, nowMillis - windowMillis);
        return window;
    }

    private static void removeBefore(Deque<Long> times, long millis) {
        while (!times.isEmpty() && times.peekFirst() <= millis) {
            times.removeFirst();
        }
    }
}
