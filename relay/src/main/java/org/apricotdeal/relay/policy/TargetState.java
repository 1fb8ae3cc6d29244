package org.apricotdeal.relay.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/** A target and what the dispatcher knows of its load and health. */
final class TargetState {
    /** Age beyond which the other nodes' count is no longer believed; several heartbeats. */
    private static final long OTHERS_LOAD_MILLIS = 1_500;

    /** Requests beyond the free slots that all nodes together may send in a round; an engine's queue takes a few. */
    private static final double OVERSHOOT = 1.5;

    /** First time that a target in doubt is left out, before one request tries it again. */
    private static final long FIRST_DOUBT_MILLIS = 1_000;

    private static final long MAX_DOUBT_MILLIS = 8_000;

    /** Stalls in a row that put a plain service in doubt. */
    private static final int PLAIN_STALLS = 2;

    final Target target;
    final Set<RequestState> running = new LinkedHashSet<>();
    long lastProgressMillis;

    private final LineState line;
    private int othersRunning;
    private long othersAtMillis = Long.MIN_VALUE / 2;
    private int stalls;
    private long doubtedMillis;
    private long doubtUntilMillis;
    private long doubtMillis;
    private int mayRun = Integer.MAX_VALUE;

    TargetState(Target target, LineState line) {
        this.target = target;
        this.line = line;
    }

    LineState line() {
        return line;
    }

    void othersRun(int count, long nowMillis) {
        othersRunning = count;
        othersAtMillis = nowMillis;
    }

    int load(long nowMillis) {
        return running.size() + (nowMillis - othersAtMillis < OTHERS_LOAD_MILLIS ? othersRunning : 0);
    }

    /** Counts this node's requests there whose answers have not begun. */
    int unstarted() {
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
        long ageMillis = nowMillis - othersAtMillis;
        return ageMillis < OTHERS_LOAD_MILLIS ? ageMillis : 0;
    }

    int freeSlots(long nowMillis) {
        if (nowMillis < doubtUntilMillis) {
            return 0;
        }
        if (doubtMillis > 0) {
            return triedSinceDoubt() ? 0 : 1;
        }
        return Math.max(0, Math.min(target.slots() - load(nowMillis), mayRun - running.size()));
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
            mayRun = Integer.MAX_VALUE;
            return;
        }
        int free = Math.max(0, target.slots() - load(nowMillis));
        double part = free == 0 ? 0 : (free + OVERSHOOT) / nodes;
        if (2 * free >= target.slots()) {
            part = Math.max(1, part);
        }
        int roundedUp = (free + nodes - 1) / nodes;
        mayRun = running.size() + Math.min(roundedUp, (int) Math.floor(part + draw));
    }

    boolean inDoubt(long nowMillis) {
        return doubtMillis > 0 || nowMillis < doubtUntilMillis;
    }

    /** Tells whether a request was sent since the target was last put in doubt; older ones are no news of it. */
    boolean triedSinceDoubt() {
        return running.stream().anyMatch(request -> request.dispatchedMillis > doubtedMillis);
    }

    /** Leaves the target out for a time that doubles with each doubt until it answers again. */
    void doubt(long nowMillis) {
        doubtMillis = doubtMillis == 0 ? FIRST_DOUBT_MILLIS : Math.min(MAX_DOUBT_MILLIS, 2 * doubtMillis);
        doubtedMillis = nowMillis;
        doubtUntilMillis = nowMillis + doubtMillis;
    }

    /**
     * Counts a stall; returns whether it puts the target in doubt. A plain service works on few requests at once, so a
     * single answer that is lost on the way leaves it without progress; it takes two in a row.
     */
    boolean stalledAgain() {
        stalls++;
        return target.line().model().isPresent() || stalls >= PLAIN_STALLS;
    }

    /** Takes note of bytes that came from the target; of several requests' the latest count. */
    void progressed(long atMillis) {
        if (atMillis <= lastProgressMillis) {
            return;
        }
        lastProgressMillis = atMillis;
        stalls = 0;
        if (atMillis >= doubtUntilMillis) {
            doubtMillis = 0;
        }
    }
}
