package org.apricotdeal.policy.routing;

/**
 * Keeps requests away from a target that fails them. A lost target fails attempts faster than a live one serves them, so
 * without this it always has free slots and draws request after request until membership takes it off the list. After a
 * failure the target gets nothing for a pause, then one request until it or another one makes progress; each failure in a row
 * doubles the pause.
 */
final class CircuitBreaker {
    private static final long MIN_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 2_000;

    /** What the target may get. */
    private enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    private State state = State.CLOSED;
    private long pauseMillis = MIN_PAUSE_MILLIS;
    private long untilMillis;
    private int inFlightBefore;

    /** Counts a failed attempt. */
    void failed(long nowMillis) {
        if (state == State.OPEN) {
            return;
        }
        pauseMillis = state == State.HALF_OPEN ? Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis) : MIN_PAUSE_MILLIS;
        state = State.OPEN;
        untilMillis = nowMillis + pauseMillis;
    }

    /** Counts a success; one that was under way when the target failed does not close an open breaker. */
    void succeeded() {
        if (state == State.HALF_OPEN) {
            state = State.CLOSED;
        }
    }

    /** Lets one request more through where the pause has passed. */
    void reopenIfDue(long nowMillis, int inFlight) {
        if (state == State.OPEN && nowMillis >= untilMillis) {
            state = State.HALF_OPEN;
            inFlightBefore = inFlight;
        }
    }

    /** Returns how many of a number of slots may be used. */
    int allowed(int slots) {
        return switch (state) {
            case CLOSED -> slots;
            case OPEN -> 0;
            case HALF_OPEN -> Math.min(inFlightBefore + 1, slots);
        };
    }
}
