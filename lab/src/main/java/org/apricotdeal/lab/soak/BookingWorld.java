package org.apricotdeal.lab.soak;

import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.policy.call.CallFault;
import org.apricotdeal.policy.claims.ClaimFault;
import org.apricotdeal.policy.claims.ClaimSettings;

/** What all actors of a run with bookings share. */
final class BookingWorld {
    /** Timeout of a call at the service. */
    static final long CALL_TIMEOUT_MILLIS = 900;

    private static final ClaimSettings SETTINGS = new ClaimSettings(3, 1_000, 1_300, 10, 50, 50, 64, 60_000);
    private static final long RETENTION_MILLIS = 3_000;
    private static final long LONGEST_PAUSE_MILLIS = 16_000;
    private static final long MIN_DELAY_MICROS = 200;
    private static final long MAX_DELAY_MICROS = 20_000;

    private final Scheduler scheduler;
    private final Network network;
    private final SimStore store;
    private final Trace trace;
    private final BookingChecks checks = new BookingChecks(RETENTION_MILLIS);
    private final ClaimFault claimFault;
    private final CallFault callFault;
    private double deathShare;

    BookingWorld(long seed, ClaimFault claimFault, CallFault callFault) {
        this.scheduler = new Scheduler(seed);
        this.network = new Network(scheduler, MIN_DELAY_MICROS, MAX_DELAY_MICROS);
        this.store = new SimStore(scheduler, network);
        this.trace = new Trace(scheduler);
        this.claimFault = claimFault;
        this.callFault = callFault;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Network network() {
        return network;
    }

    SimStore store() {
        return store;
    }

    Trace trace() {
        return trace;
    }

    BookingChecks checks() {
        return checks;
    }

    ClaimSettings settings() {
        return SETTINGS;
    }

    long retentionMillis() {
        return RETENTION_MILLIS;
    }

    ClaimFault claimFault() {
        return claimFault;
    }

    CallFault callFault() {
        return callFault;
    }

    /** Sets the share of actions before which a node dies, and a third of it before which it pauses for long. */
    void deathShare(double share) {
        deathShare = share;
    }

    long pausesForMillis() {
        boolean pauses = scheduler.random().nextDouble() < deathShare / 3;
        return pauses ? scheduler.random().nextLong(LONGEST_PAUSE_MILLIS) : 0;
    }

    /** Returns for how long a request waits in the node's ring before the journal takes it: mostly not at all. */
    long ringDelayMillis() {
        boolean waits = deathShare > 0 && scheduler.random().nextInt(50) == 0;
        return waits ? scheduler.random().nextLong(LONGEST_PAUSE_MILLIS) : 0;
    }

    boolean diesNow() {
        return scheduler.random().nextDouble() < deathShare;
    }

    /** Takes an answer to a request that has been answered already. */
    void lateAnswer(String requestId, BookingAnswer answer) {
        Invariants.check(
                claimFault != ClaimFault.NONE || callFault != CallFault.NONE,
                "answered-once",
                () -> "request " + requestId + " is answered again: " + answer);
    }
}
