package org.apricotdeal.relay.poison;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotdeal.relay.model.PromptPartId;

/**
 * What the nodes know about a crash. Reports of the same crash are merged by union, in any order and any number of times.
 *
 * @param id identifies the crash
 * @param served what the VM served
 * @param atMillis monotonic time of the crash
 * @param prompts shared parts of each lost request that was not being answered yet
 * @param soundParts parts that had been answered before the crash
 * @param clearedParts parts that have been answered since the crash
 * @param survived whether the VM has answered a later request in the same epoch, so that only connections were lost
 */
public record CrashReport(
        CrashId id,
        ModelRelease served,
        long atMillis,
        Set<List<PromptPartId>> prompts,
        Set<PromptPartId> soundParts,
        Set<PromptPartId> clearedParts,
        boolean survived) {
    /** Maximum number of prompts of a report; a replica runs and queues fewer requests. */
    private static final int MAX_PROMPTS = 64;

    /** Copies the sets. */
    public CrashReport {
        prompts = Set.copyOf(prompts);
        soundParts = Set.copyOf(soundParts);
        clearedParts = Set.copyOf(clearedParts);
    }

    /**
     * Creates the report of a request that was lost by a crash.
     *
     * @param id identifies the crash
     * @param served what the VM served
     * @param atMillis monotonic time of the crash
     * @param prompt shared parts of the request
     * @return the report
     */
    static CrashReport of(CrashId id, ModelRelease served, long atMillis, List<PromptPartId> prompt) {
        return new CrashReport(id, served, atMillis, Set.of(List.copyOf(prompt)), Set.of(), Set.of(), false);
    }

    /**
     * Merges another report of the same crash. The earlier time holds, because a node that was suspended underestimates
     * the age of what it knows.
     */
    CrashReport merge(CrashReport other) {
        Set<List<PromptPartId>> allPrompts = new HashSet<>(prompts);
        for (List<PromptPartId> prompt : other.prompts) {
            if (allPrompts.size() < MAX_PROMPTS) {
                allPrompts.add(prompt);
            }
        }
        return new CrashReport(
                id,
                served,
                Math.min(atMillis, other.atMillis),
                allPrompts,
                union(soundParts, other.soundParts),
                union(clearedParts, other.clearedParts),
                survived || other.survived);
    }

    CrashReport withSound(PromptPartId part) {
        return new CrashReport(id, served, atMillis, prompts, union(soundParts, Set.of(part)), clearedParts, survived);
    }

    CrashReport withCleared(PromptPartId part) {
        return new CrashReport(id, served, atMillis, prompts, soundParts, union(clearedParts, Set.of(part)), survived);
    }

    CrashReport withSurvival() {
        return new CrashReport(id, served, atMillis, prompts, soundParts, clearedParts, true);
    }

    /** Returns all parts of the lost requests. */
    Set<PromptPartId> parts() {
        Set<PromptPartId> parts = new HashSet<>();
        prompts.forEach(parts::addAll);
        return parts;
    }

    /** Returns whether a lost request has a part that has not been cleared. */
    boolean isSuspect(PromptPartId part) {
        return !clearedParts.contains(part) && prompts.stream().anyMatch(prompt -> prompt.contains(part));
    }

    /** Returns whether a lost request has all the given parts and none of them has been cleared. */
    boolean isExplainedBy(Set<PromptPartId> blamed) {
        if (blamed.stream().anyMatch(clearedParts::contains)) {
            return false;
        }
        return prompts.stream().anyMatch(prompt -> prompt.containsAll(blamed));
    }

    private static Set<PromptPartId> union(Set<PromptPartId> left, Set<PromptPartId> right) {
        if (left.containsAll(right)) {
            return left;
        }
        Set<PromptPartId> all = new HashSet<>(left);
        all.addAll(right);
        return all;
    }
}
