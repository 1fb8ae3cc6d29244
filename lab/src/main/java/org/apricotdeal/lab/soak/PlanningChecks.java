package org.apricotdeal.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.engine.Order;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.lab.sim.SimEngine;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.planning.PlanCodec;
import org.apricotdeal.policy.planning.PlannedReplica;
import org.apricotdeal.policy.planning.Planner;
import org.apricotdeal.policy.planning.ServableReplica;

/**
 * The invariants of planning, checked against the truth of the store and the engines:
 *
 * <ul>
 *   <li>{@code plan-version-monotonic}: the record's version grows with each write; so does the version that a node uses.
 *   <li>{@code vm-in-one-replica}: no plan has a VM in two replicas; no replica id and generation stand for two lists of
 *       members, in plans or in engines; no engine takes a join while it is a member of another replica (checked by the
 *       engine).
 *   <li>{@code order-after-commit}: an order's fencing number is the version of a plan that was committed before, and a
 *       join is in that plan.
 *   <li>{@code order-under-lease}: when an order is sent, the store has the planner's lease with the sending node.
 *   <li>{@code replica-whole}: when a node holds a replica for servable, each member's engine was, within the detection
 *       window before that moment, up and a member of that very replica, generation and list of members.
 * </ul>
 */
final class PlanningChecks {
    private final PlanningWorld world;
    private final Map<Long, Plan> committed = new HashMap<>();
    private final Map<String, List<VmId>> membersByGeneration = new HashMap<>();
    private long lastVersion;
    private long lastRevision;
    private long servableChecks;
    private long orderChecks;

    PlanningChecks(PlanningWorld world) {
        this.world = world;
    }

    long servableChecks() {
        return servableChecks;
    }

    long orderChecks() {
        return orderChecks;
    }

    Optional<Plan> newestPlan() {
        return Optional.ofNullable(committed.get(lastVersion));
    }

    /** Looks at the record; called after each step of each node. */
    void observeRecord() {
        Optional<VersionedValue> value = world.store().peek(Planner.planKey(PlanningShape.FAILURE_DOMAIN));
        if (value.isEmpty() || value.get().revision() == lastRevision) {
            return;
        }
        lastRevision = value.get().revision();
        if (!(PlanCodec.decode(value.get().value()) instanceof Result.Ok<Plan, String>(Plan plan))) {
            throw new IllegalStateException("the record holds no plan");
        }
        Invariants.check(
                plan.version() > lastVersion,
                "plan-version-monotonic",
                () -> "version " + plan.version() + " was written after version " + lastVersion);
        lastVersion = plan.version();
        committed.put(lastVersion, plan);
        checkMembers(plan);
    }

    private void checkMembers(Plan plan) {
        Set<VmId> members = new HashSet<>();
        for (PlannedReplica replica : plan.replicas()) {
            for (VmId vm : replica.vms()) {
                Invariants.check(members.add(vm), "vm-in-one-replica", () -> vm + " is twice a member in " + plan);
            }
            checkGeneration(replica.id() + "/" + replica.generation(), replica.vms());
        }
    }

    private void checkGeneration(String generation, List<VmId> members) {
        List<VmId> former = membersByGeneration.putIfAbsent(generation, members);
        Invariants.check(
                former == null || former.equals(members),
                "vm-in-one-replica",
                () -> generation + " stands for " + former + " and for " + members);
    }

    /** Checks an order at the moment at which it is sent. */
    void orderSent(NodeId node, Order order) {
        observeRecord();
        orderChecks++;
        Plan plan = committed.get(order.fence());
        Invariants.check(
                plan != null, "order-after-commit", () -> node + " sent " + order + " of a version never committed");
        if (order instanceof Order.Join join) {
            boolean planned = plan.replicas().stream()
                    .anyMatch(r -> r.id().equals(join.replica())
                            && r.generation() == join.generation()
                            && r.vms().equals(join.members()));
            Invariants.check(planned, "order-after-commit", () -> node + " sent " + join + ", not in " + plan);
        }
        String holder = world.store()
                .peek(Planner.leaseKey(PlanningShape.FAILURE_DOMAIN))
                .map(v -> new String(v.value(), StandardCharsets.UTF_8))
                .orElse("nobody");
        Invariants.check(
                holder.startsWith(node + " "),
                "order-under-lease",
                () -> node + " sent " + order + " while the lease was with " + holder);
    }

    /** Checks what a node holds for servable. */
    void servable(NodeId node, List<ServableReplica> servable, long windowMillis) {
        long nowMillis = world.scheduler().monotonicMillis();
        for (ServableReplica replica : servable) {
            servableChecks++;
            PlannedReplica planned = replica.replica();
            checkGeneration(planned.id() + "/" + planned.generation(), planned.vms());
            SimEngine.Membership membership =
                    new SimEngine.Membership(planned.id(), planned.generation(), planned.vms());
            for (VmId vm : planned.vms()) {
                long untilMillis = world.engine(vm).memberUntilMillis(membership);
                Invariants.check(
                        untilMillis >= nowMillis - windowMillis,
                        "replica-whole",
                        () -> node + " holds " + planned + " for servable at " + nowMillis + ", but " + vm
                                + " was a member until " + untilMillis + " only");
            }
        }
    }
}
