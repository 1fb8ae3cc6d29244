package org.apricotdeal.policy.admission;

import java.util.List;

/**
 * Chooses the class whose request gets the next free slot of an upstream.
 *
 * <p>Classes below their floor are served first, starting with the class that holds the smallest share of its floor. Since
 * each class has a floor, a flood of requests in one class cannot starve another, even if the flooding class has a higher
 * priority. Above the floors, only the priority counts. No slot is reserved for a class without waiting requests, because
 * slots become free within the duration of one answer. An urgent request therefore waits at most until the next of many
 * slots becomes free; preemption shortens this wait if the less urgent class is preemptible.
 */
final class ClassScheduler {
    private ClassScheduler() {}

    /**
     * Chooses the class to serve next.
     *
     * @param classes classes by priority, the most urgent first
     * @param slots slots of the upstream
     * @return the class, or null if no request is waiting
     */
    static ClassState next(List<ClassState> classes, int slots) {
        ClassState furthestBelowFloor = null;
        ClassState mostUrgent = null;
        for (ClassState state : classes) {
            if (!state.hasWaiting()) {
                continue;
            }
            if (mostUrgent == null) {
                mostUrgent = state;
            }
            if (state.isBelowFloor(slots)
                    && (furthestBelowFloor == null
                            || heldShareOfFloor(state, slots) < heldShareOfFloor(furthestBelowFloor, slots))) {
                furthestBelowFloor = state;
            }
        }
        return furthestBelowFloor != null ? furthestBelowFloor : mostUrgent;
    }

    /**
     * Chooses the class that gives up a slot to a waiting class.
     *
     * @param classes classes by priority, the most urgent first
     * @param waiting class that has a waiting request
     * @param slots slots of the upstream
     * @return the least urgent preemptible class that holds more than its floor, or null if there is none
     */
    static ClassState victim(List<ClassState> classes, ClassState waiting, int slots) {
        for (ClassState state : classes.reversed()) {
            if (state.entry.priority() <= waiting.entry.priority()) {
                return null;
            }
            if (state.entry.preemptible() && !state.running.isEmpty() && state.canReleaseSlot(slots)) {
                return state;
            }
        }
        return null;
    }

    private static double heldShareOfFloor(ClassState state, int slots) {
        return state.running.size() / state.floorSlots(slots);
    }
}
