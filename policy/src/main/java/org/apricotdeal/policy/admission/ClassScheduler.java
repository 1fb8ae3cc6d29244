package org.apricotdeal.policy.admission;

import java.util.List;

/**
 * Chooses the class whose request gets the next free slot of an upstream.
 *
 * <p>Classes below their floor come first, the one that holds the least part of its floor before the others: each class
 * has a floor, so a flood in one cannot starve another, not even one of higher priority. Above the floors, priority
 * decides alone. Slots turn over within the length of one answer, so nothing is held free for a class that asks for
 * nothing: what this costs an urgent request, at most the time until the next of many slots turns over, is bounded by
 * preemption where the less urgent class allows it.
 */
final class ClassScheduler {
    private ClassScheduler() {}

    /**
     * Chooses a class.
     *
     * @param classes classes in the order of priority
     * @param slots slots of the upstream
     * @return the class, or null where nothing waits
     */
    static ClassState next(List<ClassState> classes, int slots) {
        ClassState furthestBelow = null;
        ClassState firstWaiting = null;
        for (ClassState state : classes) {
            if (!state.waits()) {
                continue;
            }
            if (firstWaiting == null) {
                firstWaiting = state;
            }
            if (state.isBelowFloor(slots)
                    && (furthestBelow == null || heldPart(state, slots) < heldPart(furthestBelow, slots))) {
                furthestBelow = state;
            }
        }
        return furthestBelow != null ? furthestBelow : firstWaiting;
    }

    /**
     * Chooses the class that gives up a slot for a waiting one.
     *
     * @param classes classes in the order of priority
     * @param waiting the class that waits
     * @param slots slots of the upstream
     * @return the least urgent preemptible class that holds more than its floor, or null where there is none
     */
    static ClassState victim(List<ClassState> classes, ClassState waiting, int slots) {
        for (ClassState state : classes.reversed()) {
            if (state.entry.priority() <= waiting.entry.priority()) {
                return null;
            }
            if (state.entry.preemptible() && !state.running.isEmpty() && state.canSpareOne(slots)) {
                return state;
            }
        }
        return null;
    }

    private static double heldPart(ClassState state, int slots) {
        return state.running.size() / state.floorSlots(slots);
    }
}
