package org.apricotdeal.relay.policy;

/**
 * Decides for how long a target may be silent before it counts as failed. What a node that is late itself sees of others comes
 * later by its delay, and so does its verdict.
 */
final class Patience {
    /** A replica sends events every few steps; without any for this long it has lost a member or its head. */
    private static final long STALL_MILLIS = 550;

    /**
     * Time without progress after which a request whose answer has begun is sent to another target too. A sound target
     * may be silent for a second and go on.
     */
    private static final long BEGUN_STALL_MILLIS = 2_000;

    /** Time after which a connection that was not refused by then has failed for a timeout. */
    private static final long CONNECT_MILLIS = 450;

    private long extensionMillis;

    /** Sets the time by which the silence of others has to last longer. */
    void extendBy(long millis) {
        extensionMillis = millis;
    }

    /** Returns whether none of a target's requests makes progress. */
    boolean isStalled(TargetState state, long nowMillis) {
        return !state.running.isEmpty() && nowMillis - state.lastProgressMillis > STALL_MILLIS + extensionMillis;
    }

    /** Returns whether a request may be sent to another target too. */
    boolean isSilent(RequestState request, long nowMillis) {
        long limitMillis = request.started ? BEGUN_STALL_MILLIS : STALL_MILLIS;
        return request.target.silentMillis(nowMillis) >= limitMillis + extensionMillis;
    }

    /** Returns whether the connection for a request was not opened in time because this node itself is late. */
    boolean wasOpenedLate(RequestState failed, long nowMillis) {
        long waitedMillis = nowMillis - failed.dispatchedMillis;
        return waitedMillis >= CONNECT_MILLIS && waitedMillis < CONNECT_MILLIS + extensionMillis;
    }
}
