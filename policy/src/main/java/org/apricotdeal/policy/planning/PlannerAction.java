package org.apricotdeal.policy.planning;

import java.util.List;

import org.apricotdeal.engine.Order;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.platform.call.StoreCall;

/** An action that the {@link Planner} requests from its owner. */
public sealed interface PlannerAction {
    /**
     * Call the key-value service; exactly one {@link PlannerEvent.StoreReplied} follows.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements PlannerAction {}

    /**
     * Send an order to an engine; exactly one {@link PlannerEvent.OrderAnswered} follows. The owner sends the order at most
     * once. It does not send it after {@code sendByMillis}, but reports the outcome {@code NoAnswer} instead.
     *
     * @param orderId number that the outcome refers to
     * @param order the order
     * @param address the engine's address
     * @param credential credential sent with the order; empty if the engines check none
     * @param sendByMillis latest time to send the order, on the clock of the planner's steps
     */
    record SendOrder(long orderId, Order order, String address, String credential, long sendByMillis)
            implements PlannerAction {}

    /**
     * Use this plan from now on to decide which replicas are servable, and forward it to peers that have an older one.
     *
     * @param plan a committed plan, newer than any adopted before
     */
    record AdoptPlan(Plan plan) implements PlannerAction {}

    /**
     * Ask a node to promise not to take over while the platform is unavailable.
     *
     * @param node the node that is asked
     * @param planVersion version of the planner's plan
     * @param forMillis duration of the promise, counted by the asked node from the arrival of the request
     */
    record RequestPromise(NodeId node, long planVersion, long forMillis) implements PlannerAction {}

    /**
     * Answer a planner's request for a promise.
     *
     * @param planner the planner that asked
     * @param granted whether this node gives the promise
     * @param planVersion plan version from the request
     * @param forMillis duration of the promise
     */
    record AnswerPromise(NodeId planner, boolean granted, long planVersion, long forMillis) implements PlannerAction {}

    /**
     * Record a change of state in the event timeline.
     *
     * @param message kind of event
     * @param arguments values for the message's template
     */
    record RecordEvent(Message message, List<String> arguments) implements PlannerAction {
        /** Copies the list. */
        public RecordEvent {
            arguments = List.copyOf(arguments);
        }
    }
}
