package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;

/**
 * The running attempts of an exchange. The first of them that has an answer wins: from then on, nothing of the others may
 * reach the caller. An attempt that is added later resumes the answer of the winner, and may win in its place as long as
 * that sends nothing.
 *
 * <p>Guarded by the lock of the exchange, so that an attempt cannot add to the answer between the start of another one
 * and the event after which that one resumes.
 */
final class AttemptRace {
    private final List<UpstreamAttempt> running = new ArrayList<>();
    private final List<UpstreamAttempt> beaten = new ArrayList<>();

    /** What an attempt may do with its answer. */
    enum Claim {
        /** No other attempt runs. */
        UNCONTESTED,
        /** The attempt has just beaten others, which have to be cancelled. */
        WON,
        /** Another attempt has won, or this one has ended. */
        LOST
    }

    void add(UpstreamAttempt attempt) {
        running.add(attempt);
    }

    /** Removes an attempt that has ended, or whose end has no effect any more. */
    void remove(UpstreamAttempt attempt) {
        running.remove(attempt);
        beaten.remove(attempt);
    }

    Claim claim(UpstreamAttempt attempt) {
        if (!running.contains(attempt)) {
            return Claim.LOST;
        }
        if (running.size() == 1) {
            return Claim.UNCONTESTED;
        }
        running.remove(attempt);
        beaten.addAll(running);
        running.clear();
        running.add(attempt);
        return Claim.WON;
    }

    boolean isBeaten(UpstreamAttempt attempt) {
        return beaten.contains(attempt);
    }

    boolean runsAlone() {
        return running.size() <= 1;
    }

    /** Returns the attempts that have not ended, beaten ones included. */
    List<UpstreamAttempt> all() {
        List<UpstreamAttempt> all = new ArrayList<>(running);
        all.addAll(beaten);
        return all;
    }
}
