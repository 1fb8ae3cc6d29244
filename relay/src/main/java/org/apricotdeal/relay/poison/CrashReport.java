package org.apricotdeal.relay.poison;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotdeal.relay.model.RequestTrait;

/**
 * What the nodes know about a crash. Reports of the same crash are merged by union, in any order and any number of times.
 *
 * @param id identifies the crash
 * @param served what the VM served
 * @param atMillis monotonic time of the crash
 * @param requests traits of each lost request that was not being answered yet
 * @param soundTraits traits that had been answered before the crash
 * @param clearedTraits traits that have been answered since the crash
 * @param survived whether the VM has answered a later request in the same epoch, so that only connections were lost
 */
public record CrashReport(
        CrashId id,
        ServedRelease served,
        long atMillis,
        Set<List<RequestTrait>> requests,
        Set<RequestTrait> soundTraits,
        Set<RequestTrait> clearedTraits,
        boolean survived) {
    /** Maximum number of requests of a report; a replica runs and queues fewer requests. */
    private static final int MAX_REQUESTS = 64;

    /** Copies the sets. */
    public CrashReport {
        requests = Set.copyOf(requests);
        soundTraits = Set.copyOf(soundTraits);
        clearedTraits = Set.copyOf(clearedTraits);
    }

    /**
     * Creates the report of a request that was lost by a crash.
     *
     * @param id identifies the crash
     * @param served what the VM served
     * @param atMillis monotonic time of the crash
     * @param request traits of the request
     * @return the report
     */
    static CrashReport of(CrashId id, ServedRelease served, long atMillis, List<RequestTrait> request) {
        return new CrashReport(id, served, atMillis, Set.of(List.copyOf(request)), Set.of(), Set.of(), false);
    }

    /**
     * Merges another report of the same crash. The earlier time holds, because a node that was suspended underestimates
     * the age of what it knows.
     */
    CrashReport merge(CrashReport other) {
        Set<List<RequestTrait>> allRequests = new HashSet<>(requests);
        for (List<RequestTrait> request : other.requests) {
            if (allRequests.size() < MAX_REQUESTS) {
                allRequests.add(request);
            }
        }
        return new CrashReport(
                id,
                served,
                Math.min(atMillis, other.atMillis),
                allRequests,
                union(soundTraits, other.soundTraits),
                union(clearedTraits, other.clearedTraits),
                survived || other.survived);
    }

    CrashReport withSound(RequestTrait trait) {
        return new CrashReport(
                id, served, atMillis, requests, union(soundTraits, Set.of(trait)), clearedTraits, survived);
    }

    CrashReport withCleared(RequestTrait trait) {
        return new CrashReport(
                id, served, atMillis, requests, soundTraits, union(clearedTraits, Set.of(trait)), survived);
    }

    CrashReport withSurvival() {
        return new CrashReport(id, served, atMillis, requests, soundTraits, clearedTraits, true);
    }

    /** Returns the number of traits of all lost requests, each as often as it occurs. */
    int traitCount() {
        return requests.stream().mapToInt(List::size).sum();
    }

    /** Returns all traits of the lost requests. */
    Set<RequestTrait> traits() {
        Set<RequestTrait> traits = new HashSet<>();
        requests.forEach(traits::addAll);
        return traits;
    }

    /** Returns whether a lost request has a trait that has not been cleared. */
    boolean isSuspect(RequestTrait trait) {
        return !clearedTraits.contains(trait) && requests.stream().anyMatch(request -> request.contains(trait));
    }

    /** Returns whether a lost request has all the given traits and none of them has been cleared. */
    boolean isExplainedBy(Set<RequestTrait> blamed) {
        if (blamed.stream().anyMatch(clearedTraits::contains)) {
            return false;
        }
        return requests.stream().anyMatch(request -> request.containsAll(blamed));
    }

    private static Set<RequestTrait> union(Set<RequestTrait> left, Set<RequestTrait> right) {
        if (left.containsAll(right)) {
            return left;
        }
        Set<RequestTrait> all = new HashSet<>(left);
        all.addAll(right);
        return all;
    }
}
