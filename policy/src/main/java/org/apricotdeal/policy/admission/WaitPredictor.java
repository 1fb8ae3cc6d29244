package org.apricotdeal.policy.admission;

/**
 * Predicts how long a request that arrives now waits before it is dispatched.
 *
 * <p>The slots available to the class are those left by classes of higher priority, less the floors of classes of lower
 * priority, and at least the class's own floor. The backlog ahead of the request is the smaller of two values: the backlog
 * of the whole class, and the backlog of the request's caller divided by the caller's share of the class. The second value
 * keeps the prediction short for a small caller while a large caller floods the class. Requests that can start at once by
 * preempting streams that occupy the class's slots are not part of the backlog. The backlog and the remaining cost of the
 * running requests drain at the speed of the class's slots.
 *
 * <p>The prediction is a sum over the classes, and its error is within the length of a single answer. Simulating the whole
 * queue instead would take time proportional to the backlog, and so be slowest when the backlog is longest.
 */
final class WaitPredictor {
    private WaitPredictor() {}

    /**
     * Predicts the wait.
     *
     * @param upstream upstream of the request
     * @param classState class of the request
     * @param queue the caller's queue in that class
     * @param smallFirst whether the callers with the least use are served first, see {@code CallerWeighting.SMALL_FIRST}
     * @return milliseconds; infinite if the upstream has no slots
     */
    static double predictMillis(UpstreamState upstream, ClassState classState, CallerQueue queue, boolean smallFirst) {
        int slots = upstream.plannedSlots();
        if (slots == 0) {
            return Double.POSITIVE_INFINITY;
        }
        int free = upstream.freeSlots();
        if (free > 0 && queuedAtOrAbove(upstream, classState) < free) {
            return 0;
        }
        double availableSlots = classSlots(upstream, classState, slots);
        double backlogCost =
                Math.min(classState.queue.waitingCost(), scaledCallerBacklog(classState, queue, smallFirst));
        double obtainableSlots = availableSlots - classState.running.size();
        double obtainableCost = obtainableSlots * meanWaitingCost(classState);
        if (obtainableSlots >= 1 && backlogCost < obtainableCost && mayPreempt(upstream, classState)) {
            return 0;
        }
        double nextSlotCost = meanRunningCost(classState) / availableSlots;
        return (Math.max(0, backlogCost - Math.max(0, obtainableCost)) / availableSlots + nextSlotCost)
                * upstream.millisPerUnit();
    }

    private static double scaledCallerBacklog(ClassState classState, CallerQueue queue, boolean smallFirst) {
        if (queue.waiting.isEmpty()) {
            CallerQueue nextQueue = classState.queue.next();
            return nextQueue == null || smallFirst || classState.queue.size() == 0
                    ? 0
                    : classState.queue.waitingCost() / classState.queue.size() * classState.queue.activeCallers();
        }
        double scale = smallFirst ? classState.queue.activeCallers() : classState.queue.activeWeight() / queue.weight;
        return queue.waitingCost * Math.max(1, scale);
    }

    private static int queuedAtOrAbove(UpstreamState upstream, ClassState classState) {
        int sum = 0;
        for (ClassState state : upstream.classes) {
            if (state.entry.priority() <= classState.entry.priority()) {
                sum += state.queue.size();
            }
        }
        return sum;
    }

    private static double classSlots(UpstreamState upstream, ClassState classState, int slots) {
        double higherPriorityDemand = 0;
        double lowerPriorityFloors = 0;
        for (ClassState state : upstream.classes) {
            if (state == classState) {
                continue;
            }
            int demand = state.running.size() + state.queue.size();
            if (state.entry.priority() <= classState.entry.priority()) {
                higherPriorityDemand += demand;
            } else {
                lowerPriorityFloors += Math.min(demand, state.floorSlots(slots));
            }
        }
        return Math.max(1, Math.max(classState.floorSlots(slots), slots - higherPriorityDemand - lowerPriorityFloors));
    }

    /** Returns the number of further requests of a class that could start soon. */
    static int openSlots(UpstreamState upstream, ClassState classState) {
        int slots = upstream.slots();
        if (slots == 0) {
            return 0;
        }
        double availableSlots = Math.min(slots, classSlots(upstream, classState, slots));
        return (int) Math.max(0, availableSlots - classState.running.size() - classState.queue.size());
    }

    private static double meanWaitingCost(ClassState classState) {
        return classState.queue.isEmpty() ? 1 : classState.queue.waitingCost() / classState.queue.size();
    }

    private static boolean mayPreempt(UpstreamState upstream, ClassState classState) {
        ClassState leastUrgent = upstream.classes.getLast();
        return leastUrgent.entry.preemptible() && leastUrgent.entry.priority() > classState.entry.priority();
    }

    private static double meanRunningCost(ClassState classState) {
        int counted = 0;
        double sum = 0;
        for (RequestState request : classState.running) {
            sum += request.remainingCost();
            counted++;
            if (counted == 8) {
                break;
            }
        }
        return counted == 0 ? 1 : sum / counted;
    }
}
