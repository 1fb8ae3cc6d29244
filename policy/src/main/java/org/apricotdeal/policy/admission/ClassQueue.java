package org.apricotdeal.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.apricotdeal.kernel.id.CallerId;

/**
 * Requests of one class that wait for one upstream: a queue for each caller, and the callers with waiting requests in the
 * order of their rank. Each operation takes time logarithmic in the number of callers.
 */
final class ClassQueue {
    private static final Comparator<CallerQueue> ORDER =
            Comparator.<CallerQueue>comparingDouble(q -> q.orderedRank).thenComparing(q -> q.caller);

    private CallerFairness fairness;
    private final Map<CallerId, CallerQueue> queues = new HashMap<>();
    private final TreeSet<CallerQueue> order = new TreeSet<>(ORDER);
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

    /** Changes how the callers are ordered; all begin anew with nothing used. */
    void changeFairness(CallerFairness changed) {
        List<CallerQueue> waiting = active();
        order.clear();
        fairness = changed;
        for (CallerQueue queue : queues.values()) {
            queue.rank = CallerQueue.UNUSED_RANK;
        }
        for (CallerQueue queue : waiting) {
            insert(queue);
        }
    }

    void addLast(CallerQueue queue, RequestState request) {
        add(queue, request, false);
    }

    /** Puts a request that has run already before the caller's others. */
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

    /** Returns the caller that goes next, or null where nothing waits. */
    CallerQueue next() {
        return order.isEmpty() ? null : order.first();
    }

    /** Takes a request out that is being dispatched, and charges its caller. */
    void serve(long nowMillis, CallerQueue queue, RequestState request) {
        fairness.served(queue);
        remove(queue, request);
        request.charged = request.remainingCost();
        charge(nowMillis, queue, request.charged);
    }

    /** Changes what a caller has used. */
    void charge(long nowMillis, CallerQueue queue, double cost) {
        boolean waits = order.remove(queue);
        fairness.charged(nowMillis, queue, cost);
        if (waits) {
            insert(queue);
        }
    }

    /** Takes a waiting request out. */
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
            order.remove(queue);
            activeWeight -= queue.weight;
        }
        if (size == 0) {
            waitingCost = 0;
            activeWeight = 0;
        }
    }

    private void insert(CallerQueue queue) {
        queue.orderedRank = queue.rank;
        order.add(queue);
    }

    /** Returns the callers that have requests waiting. */
    List<CallerQueue> active() {
        return new ArrayList<>(order);
    }

    int activeCallers() {
        return order.size();
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
