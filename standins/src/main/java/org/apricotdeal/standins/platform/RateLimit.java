package org.apricotdeal.standins.platform;

import java.util.concurrent.TimeUnit;

/** A token bucket that holds one second's worth of calls. */
final class RateLimit {
    private final double callsPerSecond;
    private double available;
    private long refilledAtNanos = System.nanoTime();

    RateLimit(double callsPerSecond) {
        this.callsPerSecond = callsPerSecond;
        this.available = callsPerSecond;
    }

    synchronized boolean tryAcquire() {
        long nowNanos = System.nanoTime();
        double elapsedSeconds = (double) (nowNanos - refilledAtNanos) / TimeUnit.SECONDS.toNanos(1);
        available = Math.min(callsPerSecond, available + elapsedSeconds * callsPerSecond);
        refilledAtNanos = nowNanos;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
