package org.apricotdeal.relay.node;

import java.util.concurrent.TimeUnit;

import org.apricotdeal.kernel.time.Clock;

/** A thread with one matter at the store, which blocks in calls and pauses in between. */
abstract class StoreThread implements AutoCloseable {
    private static final long FIRST_PAUSE_MILLIS = 150;

    /** The return of the store is noticed this much later at most; VMs that left meanwhile still count as there until then. */
    private static final long MAX_PAUSE_MILLIS = 500;

    private final String matter;
    private final Clock clock;
    private final DecisionLog log;
    private final Thread thread;
    private volatile boolean stopped;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private volatile long awaySinceMillis = -1;
    private volatile long followedSinceMillis = -1;
    private long returnedMillis = Long.MIN_VALUE / 2;

    StoreThread(String matter, Clock clock, DecisionLog log) {
        this.matter = matter;
        this.clock = clock;
        this.log = log;
        this.thread = Thread.ofPlatform().name("store-" + matter).daemon(true).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Does one turn; returns how long to pause before the next. */
    abstract long turn();

    private void run() {
        while (!stopped) {
            long pause;
            try {
                pause = turn();
            } catch (RuntimeException e) {
                log.state("store_matter_failed")
                        .with("matter", matter)
                        .with("reason", e)
                        .write();
                pause = MAX_PAUSE_MILLIS;
            }
            if (pause > 0) {
                sleep(pause);
            }
        }
    }

    private void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopped = true;
        }
    }

    /** Notes a failed call; returns the pause after it, which grows while the store is away. */
    long failed(Object fault) {
        if (awaySinceMillis < 0) {
            awaySinceMillis = clock.monotonicMillis();
            followedSinceMillis = -1;
            log.state("store_lost").with("matter", matter).with("fault", fault).write();
        }
        long pause = pauseMillis;
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        return pause;
    }

    /** Notes a call that was answered. */
    void answered() {
        if (awaySinceMillis >= 0) {
            returnedMillis = clock.monotonicMillis();
            log.state("store_regained")
                    .with("matter", matter)
                    .with("awayMillis", returnedMillis - awaySinceMillis)
                    .write();
        }
        if (followedSinceMillis < 0) {
            followedSinceMillis = clock.monotonicMillis();
        }
        awaySinceMillis = -1;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Notes that others tell as well how things stand, so that an earlier failure says nothing about the store any more. */
    void leftToOthers() {
        if (awaySinceMillis >= 0) {
            log.state("store_left_to_others")
                    .with("matter", matter)
                    .with("awayMillis", clock.monotonicMillis() - awaySinceMillis)
                    .write();
        }
        awaySinceMillis = -1;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Tells whether the last call failed, and nobody else has told since how things stand. */
    boolean isAway() {
        return awaySinceMillis >= 0;
    }

    /** Returns for how long calls have been answered without a failure between; 0 where the last one failed. */
    long followedMillis() {
        long sinceMillis = followedSinceMillis;
        return sinceMillis < 0 ? 0 : clock.monotonicMillis() - sinceMillis;
    }

    /** Returns when the store last came back; long ago where it never was away. */
    long returnedMillis() {
        return returnedMillis;
    }

    Clock clock() {
        return clock;
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
