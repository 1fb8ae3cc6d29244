package org.apricotdeal.engine;

/** Outcome of an order to an engine. */
public sealed interface OrderOutcome {
    /**
     * The engine accepted the order.
     *
     * @param state the engine's state after accepting it
     */
    record Accepted(EngineState state) implements OrderOutcome {}

    /**
     * The engine rejected the order because it has seen a higher fencing number.
     *
     * @param fence highest fencing number that the engine has seen
     */
    record Fenced(long fence) implements OrderOutcome {}

    /**
     * The engine rejected the order for another reason.
     *
     * @param detail human-readable reason
     */
    record Refused(String detail) implements OrderOutcome {}

    /**
     * The engine did not answer; the order may still take effect within the model's maximum order delay.
     *
     * @param detail human-readable cause
     */
    record NoAnswer(String detail) implements OrderOutcome {}
}
