package org.apricotdeal.relay.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/** A target and what the dispatcher knows of its load and health. */
final class TargetState {
    /** Age beyond which the other nodes' count is no longer believed; several heartbeats. */
    private static final long MAX_PEER_LOAD_AGE_MILLIS = 1_500;

    /** Requests beyond the free slots that all nodes together may send in a round; an engine's queue takes a few. */
    private static final double OVERSHOOT_REQUESTS = 1.5;

    /** First time that a target in doubt is left out, before one request tries it again. */
    private static final long FIRST_EXCLUSION_MILLIS = 1_000;

    private static final long MAX_EXCLUSION_MILLIS = 8_000;

    /** Stalls in a row that put a plain service in doubt. */
    private static final int STALLS_TO_SUSPECT_SERVICE = 2;

    final Target target;
    final Set<RequestState> running = new LinkedHashSet<>();
    long lastProgressMillis;

    private final QueueState queue;
    private int peersRunning;
    private long peersUpdatedMillis = Long.MIN_VALUE / 2;
    private int consecutiveStalls;
    private long suspectedMillis;
    private long excludedUntilMillis;
    private long exclusionMillis;
    private int maxRunningInRound = Integer.MAX_VALUE;

    TargetState(Target target, QueueState line) {
        this.target = target;
        this.queue = line;
    }

    QueueState queue() {
        return queue;
    }

    void setPeersRunning(int count, long nowMillis) {
        peersRunning = count;
        peersUpdatedMillis = nowMillis;
    }

    int load(long nowMillis) {
        return running.size() + (nowMillis - peersUpdatedMillis < MAX_PEER_LOAD_AGE_MILLIS ? peersRunning : 0);
    }

    /** Counts this node's requests there whose answers have not begun. */
    int runningWithoutAnswer() {
        int count = 0;
        for (RequestState request : running) {
            if (!request.started) {
                count++;
            }
        }
        return count;
    }

    /** Returns the age of the other nodes' count that the load rests on. */
    long loadAgeMillis(long nowMillis) {
        long ageMillis = nowMillis - peersUpdatedMillis;
        return ageMillis < MAX_PEER_LOAD_AGE_MILLIS ? ageMillis : 0;
    }

    int freeSlots(long nowMillis) {
        if (nowMillis < excludedUntilMillis) {
            return 0;
        }
        if (exclusionMillis > 0) {
            return triedSinceSuspected() ? 0 : 1;
        }
        return Math.max(0, Math.min(target.slots() - load(nowMillis), maxRunningInRound - running.size()));
    }

    /**
     * Begins a round of heartbeats. What other nodes send within it is not known before its end, so each node takes an equal
     * part of the slots that are free now, and a last whole one as often as its part says; at least one while half of the slots
     * are free. A slot whose request ends within the round is its node's to use again.
     *
     * @param nodes nodes that send to the target, this one among them
     * @param draw random number from 0 to 1
     */
    void beginRound(int nodes, double draw, long nowMillis) {
        if (nodes == 1) {
            maxRunningInRound = Integer.MAX_VALUE;
            return;
        }
        int free = Math.max(0, target.slots() - load(nowMillis));
        double part = free == 0 ? 0 : (free + OVERSHOOT_REQUESTS) / nodes;
        if (2 * free >= target.slots()) {
            part = Math.max(1, part);
        }
        int roundedUp = (free + nodes - 1) / nodes;
        maxRunningInRound = running.size() + Math.min(roundedUp, (int) Math.floor(part + draw));
    }

    boolean isSuspected(long nowMillis) {
        return exclusionMillis > 0 || nowMillis < excludedUntilMillis;
    }

    /** Tells whether a request was sent since the target was last put in doubt; older ones are no news of it. */
    boolean triedSinceSuspected() {
        return running.stream().anyMatch(request -> request.dispatchedMillis > suspectedMillis);
    }

    /** Leaves the target out for a time that doubles with each doubt until it answers again. */
    void suspect(long nowMillis) {
        exclusionMillis =
                exclusionMillis == 0 ? FIRST_EXCLUSION_MILLIS : Math.min(MAX_EXCLUSION_MILLIS, 2 * exclusionMillis);
        suspectedMillis = nowMillis;
        excludedUntilMillis = nowMillis + exclusionMillis;
    }

    /**
     * Counts a stall; returns whether it puts the target in doubt. A plain service works on few requests at once, so a
     * single answer that is lost on the way leaves it without progress; it takes two in a row.
     */
    boolean recordStall() {
        consecutiveStalls++;
        return target.queue().model().isPresent() || consecutiveStalls >= STALLS_TO_SUSPECT_SERVICE;
    }

    /** Takes note of bytes that came from the target; of several requests' the latest count. */
    void recordProgress(long atMillis) {
        if (atMillis <= lastProgressMillis) {
            return;
        }
        lastProgressMillis = atMillis;
        consecutiveStalls = 0;
        if (atMillis >= excludedUntilMillis) {
            exclusionMillis = 0;
        }
    }
}
