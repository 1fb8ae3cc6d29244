package org.apricotdeal.relay.node;

import java.util.concurrent.TimeUnit;

import org.apricotdeal.kernel.time.Clock;

/** A thread that performs one repeated task with blocking calls to the store, and backs off while the store fails. */
abstract class StoreThread implements AutoCloseable {
    private static final long FIRST_PAUSE_MILLIS = 150;

    /** Bounds the time to detect that the store has recovered; until then VMs that have left still count as present. */
    private static final long MAX_PAUSE_MILLIS = 500;

    private final String task;
    private final Clock clock;
    private final DecisionLog log;
    private final Thread thread;
    private volatile boolean stopped;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private volatile long failingSinceMillis = -1;
    private volatile long reachableSinceMillis = -1;
    private long recoveredMillis = Long.MIN_VALUE / 2;

    StoreThread(String task, Clock clock, DecisionLog log) {
        this.task = task;
        this.clock = clock;
        this.log = log;
        this.thread = Thread.ofPlatform().name("store-" + task).daemon(true).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Performs the task once; returns the pause before the next run in milliseconds. */
    abstract long runOnce();

    private void run() {
        while (!stopped) {
            long pause;
            try {
                pause = runOnce();
            } catch (RuntimeException e) {
                log.state("store_matter_failed")
                        .with("matter", task)
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

    /** Records a failed call; returns the pause before the next call, which doubles with each failure up to a maximum. */
    long callFailed(Object fault) {
        if (failingSinceMillis < 0) {
            failingSinceMillis = clock.monotonicMillis();
            reachableSinceMillis = -1;
            log.state("store_lost").with("matter", task).with("fault", fault).write();
        }
        long pause = pauseMillis;
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        return pause;
    }

    /** Records a successful call. */
    void callSucceeded() {
        if (failingSinceMillis >= 0) {
            recoveredMillis = clock.monotonicMillis();
            log.state("store_regained")
                    .with("matter", task)
                    .with("awayMillis", recoveredMillis - failingSinceMillis)
                    .write();
        }
        if (reachableSinceMillis < 0) {
            reachableSinceMillis = clock.monotonicMillis();
        }
        failingSinceMillis = -1;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Clears an earlier failure, which no longer reflects the state of the store because the data now comes from a peer. */
    void clearFailure() {
        if (failingSinceMillis >= 0) {
            log.state("store_left_to_others")
                    .with("matter", task)
                    .with("awayMillis", clock.monotonicMillis() - failingSinceMillis)
                    .write();
        }
        failingSinceMillis = -1;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Returns whether the last call failed and no peer has taken over the supply of the data since. */
    boolean isStoreFailing() {
        return failingSinceMillis >= 0;
    }

    /** Returns for how long calls have succeeded without interruption; 0 if the last call failed. */
    long reachableMillis() {
        long sinceMillis = reachableSinceMillis;
        return sinceMillis < 0 ? 0 : clock.monotonicMillis() - sinceMillis;
    }

    /** Returns the time of the last recovery of the store; a time long ago if it never failed. */
    long recoveredMillis() {
        return recoveredMillis;
    }

    Clock clock() {
        return clock;
    }

    DecisionLog log() {
        return log;
    }

    String task() {
        return task;
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
