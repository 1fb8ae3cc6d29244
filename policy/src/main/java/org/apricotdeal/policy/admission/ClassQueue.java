package org.apricotdeal.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.apricotdeal.kernel.id.CallerId;

/**
 * Waiting requests of one class at one upstream: a queue for each caller, and the callers that have waiting requests sorted
 * by rank. Each operation takes time logarithmic in the number of callers.
 */
final class ClassQueue {
    private static final Comparator<CallerQueue> BY_RANK =
            Comparator.<CallerQueue>comparingDouble(q -> q.orderedRank).thenComparing(q -> q.caller);

    private CallerFairness fairness;
    private final Map<CallerId, CallerQueue> queues = new HashMap<>();
    private final TreeSet<CallerQueue> callersByRank = new TreeSet<>(BY_RANK);
    private int size;
    private double waitingCost;
    private double activeWeight;

    ClassQueue(CallerFairness fairness) {
        this.fairness = fairness;
    }

    CallerQueue queueOf(CallerId caller, double weight) {
        CallerQueue queue = queues.computeIfAbsent(caller, c -> new CallerQueue(c, weight));
        if (queue.weight != weight) {
            activeWeight += queue.waiting.isEmpty() ? 0 : weight - queue.weight;
            queue.weight = weight;
        }
        return queue;
    }

    /** Replaces the ordering of the callers and resets all ranks to the initial rank. */
    void setFairness(CallerFairness newFairness) {
        List<CallerQueue> waiting = activeQueues();
        callersByRank.clear();
        fairness = newFairness;
        for (CallerQueue queue : queues.values()) {
            queue.rank = CallerQueue.INITIAL_RANK;
        }
        for (CallerQueue queue : waiting) {
            insert(queue);
        }
    }

    void addLast(CallerQueue queue, RequestState request) {
        add(queue, request, false);
    }

    /** Queues a request that was dispatched before, ahead of the caller's other requests. */
    void addFirst(CallerQueue queue, RequestState request) {
        add(queue, request, true);
    }

    private void add(CallerQueue queue, RequestState request, boolean first) {
        if (queue.waiting.isEmpty()) {
            fairness.activated(queue);
            activeWeight += queue.weight;
            insert(queue);
        }
        if (first) {
            queue.waiting.addFirst(request);
        } else {
            queue.waiting.addLast(request);
        }
        double cost = request.remainingCost();
        queue.waitingCost += cost;
        waitingCost += cost;
        size++;
    }

    /** Returns the queue of the caller to serve next, or null if no request is waiting. */
    CallerQueue next() {
        return callersByRank.isEmpty() ? null : callersByRank.first();
    }

    /** Removes a request that is being dispatched and charges its expected cost to its caller. */
    void removeForDispatch(long nowMillis, CallerQueue queue, RequestState request) {
        fairness.served(queue);
        remove(queue, request);
        request.chargedCost = request.remainingCost();
        charge(nowMillis, queue, request.chargedCost);
    }

    /** Adds a cost, which may be negative, to the use of a caller. */
    void charge(long nowMillis, CallerQueue queue, double cost) {
        boolean isWaiting = callersByRank.remove(queue);
        fairness.charged(nowMillis, queue, cost);
        if (isWaiting) {
            insert(queue);
        }
    }

    /** Removes a waiting request; has no effect if the request is not queued. */
    void remove(CallerQueue queue, RequestState request) {
        boolean found = queue.waiting.peekFirst() == request
                ? queue.waiting.pollFirst() != null
                : queue.waiting.removeLastOccurrence(request);
        if (!found) {
            return;
        }
        double cost = request.remainingCost();
        queue.waitingCost -= cost;
        waitingCost -= cost;
        size--;
        if (queue.waiting.isEmpty()) {
            queue.waitingCost = 0;
            callersByRank.remove(queue);
            activeWeight -= queue.weight;
        }
        if (size == 0) {
            waitingCost = 0;
            activeWeight = 0;
        }
    }

    private void insert(CallerQueue queue) {
        queue.orderedRank = queue.rank;
        callersByRank.add(queue);
    }

    /** Returns the queues of the callers that have waiting requests, by rank. */
    List<CallerQueue> activeQueues() {
        return new ArrayList<>(callersByRank);
    }

    int activeCallers() {
        return callersByRank.size();
    }

    double activeWeight() {
        return activeWeight;
    }

    int size() {
        return size;
    }

    double waitingCost() {
        return waitingCost;
    }

    boolean isEmpty() {
        return size == 0;
    }
}
