package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tells callers that were refused before, by this node or another one, from new ones by the time that they have left. */
final class ReturningCallers {
    /**
     * Time after which refused callers have returned or given up; more than a third of the usual time limit of
     * callers.
     */
    private static final long RETURN_WINDOW_MILLIS = 4_000;

    private final Map<String, CallerTimeoutEstimate> timeoutEstimates = new HashMap<>();

    /**
     * Checks whether a caller has been refused before. While no caller has been refused recently, none returns, and
     * the time limit of the caller is added to the estimate instead.
     */
    boolean check(QueueState queue, Arrival arrival, long nowMillis) {
        CallerTimeoutEstimate timeoutEstimate =
                timeoutEstimates.computeIfAbsent(arrival.route().name(), name -> new CallerTimeoutEstimate());
        long remainingMillis = arrival.deadlineMillis() - arrival.arrivedMillis();
        if (!mayReturn(queue, nowMillis)) {
            timeoutEstimate.addSample(remainingMillis);
            return false;
        }
        return timeoutEstimate.isReturningCaller(remainingMillis);
    }

    /** Returns whether a caller has been refused before, and learns nothing from it. */
    boolean isReturning(QueueState queue, Arrival arrival, long nowMillis) {
        CallerTimeoutEstimate timeoutEstimate =
                timeoutEstimates.get(arrival.route().name());
        return timeoutEstimate != null
                && mayReturn(queue, nowMillis)
                && timeoutEstimate.isReturningCaller(arrival.deadlineMillis() - arrival.arrivedMillis());
    }

    private static boolean mayReturn(QueueState queue, long nowMillis) {
        return nowMillis - queue.lastRefusedMillis <= RETURN_WINDOW_MILLIS;
    }

    void retainRoutes(Set<String> names) {
        timeoutEstimates.keySet().retainAll(names);
    }
}
