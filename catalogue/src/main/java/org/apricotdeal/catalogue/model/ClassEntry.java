package org.apricotdeal.catalogue.model;

import org.apricotdeal.kernel.id.ClassId;

/**
 * A class of work.
 *
 * @param id the class
 * @param owner who may be asked about the entry
 * @param priority rank among the classes; 0 goes first
 * @param floorShare share of every upstream's capacity, from 0 to 1, that the class keeps while others flood
 * @param firstTokenTargetMillis time to the first token, or to the answer of a plain service, that counts as in time
 * @param deadlineMillis deadline of a request that names none
 * @param preemptible whether streams of the class may be paused for more urgent work
 * @param maxQueued requests that wait at one node before further ones are refused
 */
public record ClassEntry(
        ClassId id,
        String owner,
        int priority,
        double floorShare,
        long firstTokenTargetMillis,
        long deadlineMillis,
        boolean preemptible,
        int maxQueued)
        implements Entry {
    @Override
    public String key() {
        return "class " + id;
    }
}
