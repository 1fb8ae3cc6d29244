package org.apricotdeal.policy.planning;

import java.util.List;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.call.StoreReply;
import org.apricotdeal.policy.membership.VmReport;

/** What the {@link Planner} is told. */
public sealed interface PlannerEvent {
    /** Time has passed; sent several times a second. */
    record Tick() implements PlannerEvent {}

    /**
     * The key-value service has answered, or has failed to.
     *
     * @param reply the reply to an earlier {@link PlannerAction.CallStore}
     */
    record StoreReplied(StoreReply reply) implements PlannerEvent {}

    /**
     * The VM list was read.
     *
     * @param vms all VMs listed; those of other failure domains are ignored
     */
    record VmsListed(List<Vm> vms) implements PlannerEvent {}

    /**
     * A version of the catalogue came into force.
     *
     * @param models its models
     */
    record CatalogueChanged(List<ModelEntry> models) implements PlannerEvent {}

    /**
     * Something new is known of a VM: its engine's state or its health.
     *
     * @param report the newest report
     */
    record VmReported(VmReport report) implements PlannerEvent {}

    /**
     * An order was answered, or was not.
     *
     * @param orderId number of the order
     * @param outcome what came of it
     */
    record OrderAnswered(long orderId, OrderOutcome outcome) implements PlannerEvent {}

    /**
     * A peer has sent its plan, which it knows to be committed.
     *
     * @param plan the plan
     */
    record PlanReceived(Plan plan) implements PlannerEvent {}

    /**
     * The live nodes of the failure domain are known.
     *
     * @param nodes all live nodes, this one included
     */
    record NodesSeen(List<NodeId> nodes) implements PlannerEvent {}

    /**
     * The planner asks this node not to take over while the platform is away.
     *
     * @param planner the asking node
     * @param planVersion its plan's version
     * @param forMillis how long, from now
     */
    record PromiseRequested(NodeId planner, long planVersion, long forMillis) implements PlannerEvent {}

    /**
     * A node has answered a request for its promise.
     *
     * @param node the answering node
     * @param granted whether it promised
     * @param planVersion the plan's version that the request named
     * @param forMillis how long, from the moment the request was sent
     */
    record PromiseAnswered(NodeId node, boolean granted, long planVersion, long forMillis) implements PlannerEvent {}

    /** The node shuts down; the planner's lease is given back. */
    record Stopping() implements PlannerEvent {}
}
