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
public final class RepeatBudget {
    private final long windowMillis;
    private final double ratio;
    private final double allowance;
    private final int leastNodes;
    private final Map<UpstreamId, Window> windows = new HashMap<>();
    private final Deque<NodeCount> counts = new ArrayDeque<>();

    /** What was sent to an upstream within the window. */
    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();
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
    public RepeatBudget(long windowMillis, double ratio, double allowance, int leastNodes) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.allowance = allowance;
        this.leastNodes = leastNodes;
    }

    /**
     * Sets how many nodes share the allowance.
     *
     * @param registered number of registered nodes, this one among them
     * @param nowMillis time
     */
    public void setNodes(int registered, long nowMillis) {
        while (!counts.isEmpty() && counts.peekLast().nodes() <= registered) {
            counts.removeLast();
        }
        counts.addLast(new NodeCount(registered, nowMillis));
    }

    /**
     * Sets how many nodes are taken to share the allowance until they have been counted.
     *
     * @param guessed number of nodes
     */
    public void guessNodes(int guessed) {
        counts.addFirst(new NodeCount(guessed, Long.MIN_VALUE / 2));
    }

    /** Returns the largest number of nodes that was counted within the window or last. */
    private int nodes(long nowMillis) {
        while (counts.size() > 1 && counts.peekFirst().untilMillis() <= nowMillis - windowMillis) {
            counts.removeFirst();
        }
        return Math.max(leastNodes, counts.isEmpty() ? 0 : counts.peekFirst().nodes());
    }

    /**
     * Counts a request.
     *
     * @param upstream where it goes
     * @param nowMillis time
     */
    public void requested(UpstreamId upstream, long nowMillis) {
        window(upstream, nowMillis).requests.addLast(nowMillis);
    }

    /**
     * Takes a repeat where there is room for one.
     *
     * @param upstream where it goes
     * @param nowMillis time
     * @return true where the request may be sent again
     */
    public boolean tryRepeat(UpstreamId upstream, long nowMillis) {
        Window window = window(upstream, nowMillis);
        if (window.repeats.size() + 1 > allowance / nodes(nowMillis) + ratio * window.requests.size()) {
            return false;
        }
        window.repeats.addLast(nowMillis);
        return true;
    }

    private Window window(UpstreamId upstream, long nowMillis) {
        Window window = windows.computeIfAbsent(upstream, id -> new Window());
        removeBefore(window.requests, nowMillis - windowMillis);
        removeBefore(window.repeats, nowMillis - windowMillis);
        return window;
    }

    private static void removeBefore(Deque<Long> times, long millis) {
        while (!times.isEmpty() && times.peekFirst() <= millis) {
            times.removeFirst();
        }
    }
}
