package org.apricotdeal.policy.admission;

import java.util.LinkedHashSet;
import java.util.Set;

import org.apricotdeal.catalogue.model.ClassEntry;

/** One class at one upstream: what waits and what runs. */
final class ClassState {
    final ClassQueue queue;
    final Set<RequestState> running = new LinkedHashSet<>();
    ClassEntry entry;

    ClassState(ClassEntry entry, ClassQueue queue) {
        this.entry = entry;
        this.queue = queue;
    }

    boolean waits() {
        return !queue.isEmpty();
    }

    /** Returns the number of slots that the class keeps while others flood. */
    double floorSlots(int slots) {
        return entry.floorShare() * slots;
    }

    /** Tells whether the class waits although it holds less than its floor. */
    boolean isBelowFloor(int slots) {
        return waits() && running.size() < floorSlots(slots);
    }

    /** Tells whether the class would still hold its floor with one request less. */
    boolean canSpareOne(int slots) {
        return running.size() - 1 >= floorSlots(slots);
    }
}
