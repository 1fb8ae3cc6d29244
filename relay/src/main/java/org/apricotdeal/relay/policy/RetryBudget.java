package org.apricotdeal.relay.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * Limits retries for each upstream over a sliding window. All nodes share the limit: each counts its own requests
 * and uses an equal share of the fixed allowance. A node that is no longer registered may still be sending, and what
 * it sent stays in the window, so its share becomes free only after a full window.
 */
public final class RetryBudget {
    private final long windowMillis;
    private final double ratio;
    private final double allowance;
    private final int minNodes;
    private final Map<UpstreamId, Window> windows = new HashMap<>();
    private final Deque<NodeCount> nodeCounts = new ArrayDeque<>();

    /** Requests and retries for an upstream within the window. */
    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();
    }

    /** A node count and the time until which it was valid. */
    private record NodeCount(int nodes, long untilMillis) {}

    /**
     * Creates a budget.
     *
     * @param windowMillis length of the window
     * @param ratio retries allowed per request in the window
     * @param allowance further retries allowed in a window, shared by all nodes
     * @param minNodes minimum number of nodes that share the allowance; unreachable nodes use their share as well
     */
    public RetryBudget(long windowMillis, double ratio, double allowance, int minNodes) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.allowance = allowance;
        this.minNodes = minNodes;
    }

    /**
     * Sets the number of nodes that share the allowance.
     *
     * @param registered number of registered nodes, including this one
     * @param nowMillis monotonic time
     */
    public void setNodeCount(int registered, long nowMillis) {
        while (!nodeCounts.isEmpty() && nodeCounts.peekLast().nodes() <= registered) {
            nodeCounts.removeLast();
        }
        nodeCounts.addLast(new NodeCount(registered, nowMillis));
    }

    /**
     * Sets the node count to assume until the nodes have been counted.
     *
     * @param assumed number of nodes
     */
    public void assumeNodeCount(int assumed) {
        nodeCounts.addFirst(new NodeCount(assumed, Long.MIN_VALUE / 2));
    }

    /** Returns the highest node count that was valid within the window, or the latest one. */
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
     * @param upstream destination of the request
     * @param nowMillis monotonic time
     */
    public void recordRequest(UpstreamId upstream, long nowMillis) {
        window(upstream, nowMillis).requests.addLast(nowMillis);
    }

    /**
     * Uses a retry if the budget allows one.
     *
     * @param upstream destination of the request
     * @param nowMillis monotonic time
     * @return true if the request may be retried
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
