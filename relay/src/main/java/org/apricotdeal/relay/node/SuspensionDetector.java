package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.time.Clock;

/** Compares the clocks: the wall clock goes on while the process is suspended, the monotonic clock does not. */
final class SuspensionDetector {
    /** Difference by which the clocks may drift apart between two checks. */
    private static final long MAX_CLOCK_DRIFT_MILLIS = 500;

    private final Clock clock;
    private long clockOffsetMillis = Long.MAX_VALUE / 2;

    SuspensionDetector(Clock clock) {
        this.clock = clock;
    }

    /** Returns whether the process has been suspended since the last check. */
    boolean wasSuspended() {
        long offsetMillis = clock.wallMillis() - clock.monotonicMillis();
        boolean suspended = offsetMillis - clockOffsetMillis > MAX_CLOCK_DRIFT_MILLIS;
        clockOffsetMillis = offsetMillis;
        return suspended;
    }
}
