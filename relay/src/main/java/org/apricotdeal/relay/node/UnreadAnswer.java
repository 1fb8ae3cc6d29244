package org.apricotdeal.relay.node;

import java.util.concurrent.atomic.AtomicBoolean;

/** A complete response in memory that its caller has not read yet; callers that read none of theirs give way. */
final class UnreadAnswer implements BufferLimit.Holder {
    private final CallerResources resources;
    private final WatchedEndPoint caller;
    private final int sizeBytes;
    private final long sinceMillis;
    private final AtomicBoolean held = new AtomicBoolean(true);

    UnreadAnswer(CallerResources resources, WatchedEndPoint caller, int sizeBytes) {
        this.resources = resources;
        this.caller = caller;
        this.sizeBytes = sizeBytes;
        this.sinceMillis = resources.nowMillis();
    }

    /** Takes the memory, which the response already has, without regard to the limit. */
    void hold() {
        resources.answers().hold(sizeBytes);
        resources.answers().add(this);
    }

    /** Returns the memory; has an effect once. */
    boolean release() {
        if (!held.compareAndSet(true, false)) {
            return false;
        }
        resources.answers().remove(this);
        resources.answers().release(sizeBytes);
        return true;
    }

    @Override
    public long progressMillis() {
        return Math.max(sinceMillis, resources.nowMillis() - caller.millisSinceFlush());
    }

    @Override
    public int heldBytes() {
        return sizeBytes;
    }

    @Override
    public boolean giveWay() {
        if (!release()) {
            return false;
        }
        resources.record("answer");
        caller.close();
        return true;
    }
}
