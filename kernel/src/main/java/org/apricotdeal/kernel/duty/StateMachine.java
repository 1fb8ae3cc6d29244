package org.apricotdeal.kernel.duty;

import java.util.List;

/**
 * A pure state machine: it takes events and the current time, and returns the actions for its owner to carry out. It does
 * no input or output, reads no clock and draws random numbers only from a seeded source that it is given, so that the
 * node, the tests, the randomised runs and the experiments all run the same code.
 *
 * @param <E> type of the events, a sealed interface
 * @param <A> type of the actions, a sealed interface
 */
public interface StateMachine<E, A> {
    /**
     * Processes one event.
     *
     * @param nowMillis monotonic time in milliseconds; never decreases between calls
     * @param event the event
     * @return actions to carry out, in order
     */
    List<A> step(long nowMillis, E event);
}
