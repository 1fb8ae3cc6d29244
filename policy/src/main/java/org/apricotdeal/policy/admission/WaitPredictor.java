package org.apricotdeal.policy.admission;

/**
 * Predicts how long a request that arrives now waits before it is dispatched.
 *
 * <p>The class's part of the upstream's slots is what classes of higher priority leave, less what lower ones keep as their
 * floor, and at least its own floor. Ahead of the request stands the smaller of two backlogs: all that waits in its class,
 * and its own caller's backlog scaled up by the caller's part of the class; the second is what makes a small caller's
 * prediction short while a large one floods. What the class can take over at once, since a preemptible class holds slots
 * that are the class's part, does not count. The backlog, and the rest of what runs now, drain at the speed of the class's
 * slots. The prediction is cheap, a sum over the classes, and errs within a single answer's length; the alternative, a
 * simulated run of the whole queue, costs time in proportion to the backlog just when that is longest.
 */
final class WaitPredictor {
    private WaitPredictor() {}

    /**
     * Predicts the wait.
     *
     * @param upstream the upstream
     * @param target class of the request
     * @param queue its caller's queue in that class
     * @param small whether callers are served in the order of least use, see {@code CallerWeighting.SMALL_FIRST}
     * @return milliseconds; infinite where the upstream has no slots
     */
    static double predictMillis(UpstreamState upstream, ClassState target, CallerQueue queue, boolean small) {
        int slots = upstream.plannedSlots();
        if (slots == 0) {
            return Double.POSITIVE_INFINITY;
        }
        int free = upstream.freeSlots();
        if (free > 0 && queuedAtOrAbove(upstream, target) < free) {
            return 0;
        }
        double part = classSlots(upstream, target, slots);
        double ahead = Math.min(target.queue.waitingCost(), scaledBacklog(target, queue, small));
        double open = part - target.running.size();
        double served = open * meanWaitingCost(target);
        if (open >= 1 && ahead < served && canPreempt(upstream, target)) {
            return 0;
        }
        double untilTurnover = meanRunningCost(target) / part;
        return (Math.max(0, ahead - Math.max(0, served)) / part + untilTurnover) * upstream.millisPerUnit();
    }

    private static double scaledBacklog(ClassState target, CallerQueue queue, boolean small) {
        if (queue.waiting.isEmpty()) {
            CallerQueue next = target.queue.next();
            return next == null || small || target.queue.size() == 0
                    ? 0
                    : target.queue.waitingCost() / target.queue.size() * target.queue.activeCallers();
        }
        double scale = small ? target.queue.activeCallers() : target.queue.activeWeight() / queue.weight;
        return queue.waitingCost * Math.max(1, scale);
    }

    private static int queuedAtOrAbove(UpstreamState upstream, ClassState target) {
        int sum = 0;
        for (ClassState state : upstream.classes) {
            if (state.entry.priority() <= target.entry.priority()) {
                sum += state.queue.size();
            }
        }
        return sum;
    }

    private static double classSlots(UpstreamState upstream, ClassState target, int slots) {
        double above = 0;
        double below = 0;
        for (ClassState state : upstream.classes) {
            if (state == target) {
                continue;
            }
            int demand = state.running.size() + state.queue.size();
            if (state.entry.priority() <= target.entry.priority()) {
                above += demand;
            } else {
                below += Math.min(demand, state.floorSlots(slots));
            }
        }
        return Math.max(1, Math.max(target.floorSlots(slots), slots - above - below));
    }

    /** Returns how many further requests of a class could start soon. */
    static int openSlots(UpstreamState upstream, ClassState target) {
        int slots = upstream.slots();
        if (slots == 0) {
            return 0;
        }
        double part = Math.min(slots, classSlots(upstream, target, slots));
        return (int) Math.max(0, part - target.running.size() - target.queue.size());
    }

    private static double meanWaitingCost(ClassState target) {
        return target.queue.isEmpty() ? 1 : target.queue.waitingCost() / target.queue.size();
    }

    private static boolean canPreempt(UpstreamState upstream, ClassState target) {
        ClassState least = upstream.classes.getLast();
        return least.entry.preemptible() && least.entry.priority() > target.entry.priority();
    }

    private static double meanRunningCost(ClassState target) {
        int counted = 0;
        double sum = 0;
        for (RequestState request : target.running) {
            sum += request.remainingCost();
            counted++;
            if (counted == 8) {
                break;
            }
        }
        return counted == 0 ? 1 : sum / counted;
    }
}
