package org.apricotdeal.policy.planning;

import java.util.List;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.call.StoreReply;
import org.apricotdeal.policy.membership.VmReport;

/** An input of the {@link Planner}. */
public sealed interface PlannerEvent {
    /** Drives actions that depend on time; sent several times a second. */
    record Tick() implements PlannerEvent {}

    /**
     * A call to the key-value service was answered or has failed.
     *
     * @param reply the reply to an earlier {@link PlannerAction.CallStore}
     */
    record StoreReplied(StoreReply reply) implements PlannerEvent {}

    /**
     * The VM list was read.
     *
     * @param vms all listed VMs; those of other failure domains are ignored
     */
    record VmsListed(List<Vm> vms) implements PlannerEvent {}

    /**
     * A new version of the catalogue is in force.
     *
     * @param models all models of the catalogue
     */
    record CatalogueChanged(List<ModelEntry> models) implements PlannerEvent {}

    /**
     * A VM's health or its engine's state was updated.
     *
     * @param report the newest report on the VM
     */
    record VmReported(VmReport report) implements PlannerEvent {}

    /**
     * An order was answered, or its answer is no longer expected.
     *
     * @param orderId number of the order from {@link PlannerAction.SendOrder}
     * @param outcome outcome of the order
     */
    record OrderAnswered(long orderId, OrderOutcome outcome) implements PlannerEvent {}

    /**
     * A peer has sent a committed plan.
     *
     * @param plan the plan
     */
    record PlanReceived(Plan plan) implements PlannerEvent {}

    /**
     * The list of live nodes of the failure domain was updated.
     *
     * @param nodes all live nodes, including this one
     */
    record NodesListed(List<NodeId> nodes) implements PlannerEvent {}

    /**
     * The planner asks this node to promise not to take over while the platform is unavailable.
     *
     * @param planner the planner that asks
     * @param planVersion version of the planner's plan
     * @param forMillis duration of the promise, from the arrival of this event
     */
    record PromiseRequested(NodeId planner, long planVersion, long forMillis) implements PlannerEvent {}

    /**
     * A node has answered a request for a promise.
     *
     * @param node the node that answered
     * @param granted whether it gave the promise
     * @param planVersion plan version from the request
     * @param forMillis duration of the promise, from the time at which the request was sent
     */
    record PromiseAnswered(NodeId node, boolean granted, long planVersion, long forMillis) implements PlannerEvent {}

    /** The node is shutting down; the planner's lease is released. */
    record Stopping() implements PlannerEvent {}
}
