package org.apricotdeal.policy.routing;

/**
 * Stops sending requests to a failing target. A lost target fails attempts faster than a live one serves them, so without a
 * breaker it always has free slots and attracts requests until membership removes it. After a failure the target gets no
 * requests for a pause, and then one further request until any request there makes progress. Each consecutive failure
 * doubles the pause.
 */
final class CircuitBreaker {
    private static final long MIN_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 2_000;

    /** States of the breaker: all slots, no slots, or one probe request. */
    private enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    private State state = State.CLOSED;
    private long pauseMillis = MIN_PAUSE_MILLIS;
    private long openUntilMillis;
    private int inFlightAtHalfOpen;

    /** Opens the breaker after a failed attempt. */
    void failed(long nowMillis) {
        if (state == State.OPEN) {
            return;
        }
        pauseMillis = state == State.HALF_OPEN ? Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis) : MIN_PAUSE_MILLIS;
        state = State.OPEN;
        openUntilMillis = nowMillis + pauseMillis;
    }

    /** Closes a half-open breaker. An open breaker stays open: the request was already in flight at the failure. */
    void succeeded() {
        if (state == State.HALF_OPEN) {
            state = State.CLOSED;
        }
    }

    /** Lets one further request through if the pause has passed. */
    void halfOpenIfDue(long nowMillis, int inFlight) {
        if (state == State.OPEN && nowMillis >= openUntilMillis) {
            state = State.HALF_OPEN;
            inFlightAtHalfOpen = inFlight;
        }
    }

    /** Returns the number of slots that may be used out of the given number. */
    int allowedSlots(int slots) {
        return switch (state) {
            case CLOSED -> slots;
            case OPEN -> 0;
            case HALF_OPEN -> Math.min(inFlightAtHalfOpen + 1, slots);
        };
    }
}
