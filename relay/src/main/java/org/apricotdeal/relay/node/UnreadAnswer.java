package org.apricotdeal.relay.node;

import java.util.concurrent.atomic.AtomicBoolean;

/** A complete response in memory that its caller has not read yet; callers that read none of theirs give way. */
final class UnreadAnswer implements BufferLimit.Holder {
    /** Time in which an answer has to be read while others need its memory; longer than for a body, as its work is done. */
    private static final long ANSWER_HOLD_MILLIS = 30_000;

    private final CallerResources resources;
    private final WatchedEndPoint caller;
    private final int sizeBytes;
    private final Runnable onCut;
    private final TransferProgress progress;
    private final AtomicBoolean held = new AtomicBoolean(true);

    /**
     * Creates a response that holds no memory yet.
     *
     * @param resources memory that callers hold
     * @param caller connection to which the response is written
     * @param sizeBytes size of the response
     * @param onCut called if the response gives way
     */
    UnreadAnswer(CallerResources resources, WatchedEndPoint caller, int sizeBytes, Runnable onCut) {
        this.resources = resources;
        this.caller = caller;
        this.sizeBytes = sizeBytes;
        this.onCut = onCut;
        this.progress = new TransferProgress(ANSWER_HOLD_MILLIS, resources.nowMillis());
    }

    /** Takes the memory, which the response already has, without regard to the limit. */
    void hold() {
        caller.watchFlushes(count -> progress.add(count, sizeBytes, resources.nowMillis()));
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
        return progress.progressMillis();
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
        onCut.run();
        caller.close();
        return true;
    }
}
