package org.apricotdeal.kernel.time;

/** Issues strictly increasing hybrid logical timestamps. */
public final class HybridClock {
    private final Clock clock;
    private HybridTime last = HybridTime.ZERO;

    /**
     * Creates a clock.
     *
     * @param clock source of wall time
     */
    public HybridClock(Clock clock) {
        this.clock = clock;
    }

    /**
     * Issues a timestamp for a local event.
     *
     * @return a timestamp later than any issued or observed so far
     */
    public synchronized HybridTime next() {
        long wallMillis = clock.wallMillis();
        last = wallMillis > last.wallMillis()
                ? new HybridTime(wallMillis, 0)
                : new HybridTime(last.wallMillis(), last.counter() + 1);
        return last;
    }

    /**
     * Advances the clock to a timestamp received from another process, if that is later.
     *
     * @param remote the received timestamp
     */
    public synchronized void observe(HybridTime remote) {
        if (remote.compareTo(last) > 0) {
            last = remote;
        }
    }
}
