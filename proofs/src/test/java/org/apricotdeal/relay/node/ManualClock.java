package org.apricotdeal.relay.node;

import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.kernel.time.Clock;

/** Clock that advances only when told to. */
final class ManualClock implements Clock {
    private final AtomicLong nowMillis = new AtomicLong(100_000);

    void advance(long millis) {
        nowMillis.addAndGet(millis);
    }

    @Override
    public long monotonicMillis() {
        return nowMillis.get();
    }

    @Override
    public long wallMillis() {
        return nowMillis.get();
    }
}
