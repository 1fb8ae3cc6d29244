package org.apricotdeal.kernel.time;

import java.util.concurrent.TimeUnit;

/** The system clock of the host. */
public final class SystemClock implements Clock {
    @Override
    public long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
