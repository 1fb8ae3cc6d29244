package org.apricotdeal.policy.planning;

import java.util.List;

import org.apricotdeal.engine.Order;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.platform.call.StoreCall;

/** What the {@link Planner} asks its owner to do. */
public sealed interface PlannerAction {
    /**
     * Call the key-value service; exactly one {@link PlannerEvent.StoreReplied} follows.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements PlannerAction {}

    /**
     * Send an order to an engine; exactly one {@link PlannerEvent.OrderAnswered} follows. The owner sends it at most once
     * and not at all after {@code sendByMillis}; it then answers {@code NoAnswer}.
     *
     * @param orderId number of the order
     * @param order the order
     * @param address the engine's address
     * @param credential credential sent with it; empty where the engines check none
     * @param sendByMillis latest time to send it, on the clock of the machine's steps
     */
    record SendOrder(long orderId, Order order, String address, String credential, long sendByMillis)
            implements PlannerAction {}

    /**
     * Use this plan from now on to decide what is servable, and pass it on to peers that have an older one.
     *
     * @param plan a committed plan, newer than any adopted before
     */
    record AdoptPlan(Plan plan) implements PlannerAction {}

    /**
     * Ask a node not to take over while the platform is away.
     *
     * @param node the node
     * @param planVersion the plan's version
     * @param forMillis how long, counted by the asked node from the request's arrival
     */
    record RequestPromise(NodeId node, long planVersion, long forMillis) implements PlannerAction {}

    /**
     * Answer a planner's request for a promise.
     *
     * @param planner the asking node
     * @param granted whether this node promises
     * @param planVersion the plan's version that the request named
     * @param forMillis how long
     */
    record AnswerPromise(NodeId planner, boolean granted, long planVersion, long forMillis) implements PlannerAction {}

    /**
     * Put a change of state on the time line.
     *
     * @param message what happened
     * @param arguments values for the message's template
     */
    record RecordEvent(Message message, List<String> arguments) implements PlannerAction {
        /** Copies the list. */
        public RecordEvent {
            arguments = List.copyOf(arguments);
        }
    }
}
