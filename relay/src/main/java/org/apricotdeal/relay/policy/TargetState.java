package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A target and what the dispatcher knows of its load and health. */
final class TargetState {
    /** Age beyond which another node's count is no longer believed; several heartbeats. */
    private static final long PEER_LOAD_MILLIS = 1_500;

    /** First time that a target in doubt is left out, before one request tries it again. */
    private static final long FIRST_DOUBT_MILLIS = 1_000;

    private static final long MAX_DOUBT_MILLIS = 8_000;

    /** Stalls in a row that put a plain service in doubt. */
    private static final int PLAIN_STALLS = 2;

    final Target target;
    final Set<RequestState> running = new LinkedHashSet<>();
    long lastProgressMillis;

    private final LineState line;
    private final Map<String, PeerCount> peers = new HashMap<>();
    private int stalls;
    private long doubtedMillis;
    private long doubtUntilMillis;
    private long doubtMillis;
    private int mayRun = Integer.MAX_VALUE;

    /** Another node's count and when it was told. */
    private record PeerCount(int running, long atMillis) {}

    TargetState(Target target, LineState line) {
        this.target = target;
        this.line = line;
    }

    LineState line() {
        return line;
    }

    void peerRuns(String node, int count, long nowMillis) {
        if (count == 0) {
            peers.remove(node);
        } else {
            peers.put(node, new PeerCount(count, nowMillis));
        }
    }

    int load(long nowMillis) {
        int sum = running.size();
        for (PeerCount peer : peers.values()) {
            if (nowMillis - peer.atMillis() < PEER_LOAD_MILLIS) {
                sum += peer.running();
            }
        }
        return sum;
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

    /** Returns the age of the oldest count of another node that the load rests on. */
    long loadAgeMillis(long nowMillis) {
        long oldestMillis = 0;
        for (PeerCount peer : peers.values()) {
            long ageMillis = nowMillis - peer.atMillis();
            if (ageMillis < PEER_LOAD_MILLIS) {
                oldestMillis = Math.max(oldestMillis, ageMillis);
            }
        }
        return oldestMillis;
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
     * part of the slots that are free now. A slot whose request ends within the round is its node's to use again.
     *
     * @param nodes nodes that send to the target, this one among them
     */
    void beginRound(int nodes, long nowMillis) {
        int free = Math.max(0, target.slots() - load(nowMillis));
        mayRun = nodes == 1 ? Integer.MAX_VALUE : running.size() + (free + nodes - 1) / nodes;
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
