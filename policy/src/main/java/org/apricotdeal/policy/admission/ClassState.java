package org.apricotdeal.policy.admission;

import java.util.LinkedHashSet;
import java.util.Set;

import org.apricotdeal.catalogue.model.ClassEntry;

/** Waiting and running requests of one class at one upstream. */
final class ClassState {
    final ClassQueue queue;
    final Set<RequestState> running = new LinkedHashSet<>();
    ClassEntry entry;

    ClassState(ClassEntry entry, ClassQueue queue) {
        this.entry = entry;
        this.queue = queue;
    }

    boolean hasWaiting() {
        return !queue.isEmpty();
    }

    /** Returns the number of slots that are guaranteed to the class while it has requests. */
    double floorSlots(int slots) {
        return entry.floorShare() * slots;
    }

    /** Returns true if the class has waiting requests and holds fewer slots than its floor. */
    boolean isBelowFloor(int slots) {
        return hasWaiting() && running.size() < floorSlots(slots);
    }

    /** Returns true if the class would still hold its floor with one running request less. */
    boolean canReleaseSlot(int slots) {
        return running.size() - 1 >= floorSlots(slots);
    }
}
