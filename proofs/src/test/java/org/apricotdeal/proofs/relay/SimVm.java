package org.apricotdeal.proofs.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * Simulates a model VM as the platform specifies it: orders depend on the order count, and the VM does not check
 * memberships.
 */
final class SimVm {
    static final long OPEN_MILLIS = 300;
    private static final long REJOIN_MILLIS = 200;

    /** Time to finish running requests after the order to close; the longest answers take several seconds. */
    private static final long CLOSE_MILLIS = 3_000;

    /** Age of a report in ticks, about 300 ms. */
    private static final int REPORT_LAG_TICKS = 3;

    final VmId id;
    final FabricDomainId fabric;
    List<ModelSpec> models;
    long startedMillis;
    boolean dead;
    boolean leaving;
    /** The VM cannot write its entry to the store, but still answers. */
    boolean cutFromStore;
    /** The VM leaves orders unanswered and executes them late. */
    boolean delaysOrders;

    long orderCount;
    Optional<GroupMembership> group = Optional.empty();
    List<VmId> members = List.of();
    Optional<ModelId> stagedModel = Optional.empty();
    Optional<ModelId> loadedModel = Optional.empty();
    long stallSinceMillis = -1;
    private long highestEpoch;
    private long nextPhaseMillis = Long.MAX_VALUE;
    private long stagingEndMillis = Long.MAX_VALUE;
    private ModelId stagingModel;

    /** Memberships that have been ready, as {@code vm/replica/epoch}. */
    private final Set<String> membershipsOnceReady;

    private final Deque<VmReport> reports = new ArrayDeque<>();

    SimVm(
            VmId id,
            FabricDomainId fabric,
            List<ModelSpec> models,
            Set<String> membershipsOnceReady,
            long startedMillis) {
        this.id = id;
        this.fabric = fabric;
        this.models = models;
        this.membershipsOnceReady = membershipsOnceReady;
        this.startedMillis = startedMillis;
    }

    static String membership(VmId vm, GroupMembership group) {
        return vm + "/" + group.replica() + "/" + group.epoch();
    }

    UpstreamVm entry() {
        return new UpstreamVm(
                id,
                new UpstreamId("chat"),
                id + ":80",
                new FailureDomainId("a"),
                Optional.of(fabric),
                "v1",
                12,
                leaving,
                startedMillis,
                UpstreamVm.ORDER_COUNT_UNKNOWN,
                stagedModel.stream().toList(),
                loadedModel,
                group);
    }

    /** Returns the report of the VM: its state some ticks ago if it was running then. */
    VmReport report() {
        return reports.isEmpty() ? state() : reports.getFirst();
    }

    /** Returns a report of the present state. */
    VmReport state() {
        return new VmReport(
                Optional.of(fabric),
                startedMillis,
                orderCount,
                stagingModel != null || nextPhaseMillis != Long.MAX_VALUE,
                stagedModel.stream().toList(),
                loadedModel,
                group,
                0,
                0,
                1);
    }

    /** Restarts the VM; only the weights on its host remain. */
    void restart(long nowMillis) {
        reports.clear();
        dead = false;
        startedMillis = nowMillis;
        orderCount = 0;
        group = Optional.empty();
        members = List.of();
        loadedModel = Optional.empty();
        highestEpoch = 0;
        nextPhaseMillis = Long.MAX_VALUE;
        stallSinceMillis = -1;
    }

    OrderReply handleOrder(long nowMillis, long expected, ReplicaOrder order) {
        if (expected != orderCount) {
            return OrderReply.CONFLICT;
        }
        return switch (order) {
            case ReplicaOrder.Join join -> join(nowMillis, join);
            case ReplicaOrder.Open(var replica, long epoch) -> open(nowMillis, replica.value(), epoch);
            case ReplicaOrder.Close(var replica, long epoch) -> close(nowMillis, replica.value(), epoch);
            case ReplicaOrder.Leave(var replica, long epoch) -> leave(replica.value(), epoch);
            case ReplicaOrder.Stage(var model) -> stage(nowMillis, model);
        };
    }

    private OrderReply join(long nowMillis, ReplicaOrder.Join join) {
        if (join.number() < highestEpoch) {
            return OrderReply.OUTDATED;
        }
        highestEpoch = join.number();
        orderCount++;
        group = Optional.of(new GroupMembership(
                join.replica(), join.number(), join.members().indexOf(id), GroupPhase.JOINING));
        members = join.members();
        stallSinceMillis = -1;
        ModelSpec spec = models.stream()
                .filter(model -> model.id().equals(join.model()))
                .findFirst()
                .orElseThrow();
        boolean rejoinsLastModel = loadedModel.filter(join.model()::equals).isPresent();
        boolean weightsOnHost = stagedModel.filter(join.model()::equals).isPresent();
        nextPhaseMillis = nowMillis
                + (rejoinsLastModel ? REJOIN_MILLIS : weightsOnHost ? spec.warmLoadMillis() : spec.coldLoadMillis());
        loadedModel = Optional.of(join.model());
        // Only a load stores weights on the host; a VM whose last replica had the same model needs none.
        if (!rejoinsLastModel && !weightsOnHost) {
            stagedModel = loadedModel;
        }
        return OrderReply.BEGUN;
    }

    private OrderReply open(long nowMillis, String replica, long epoch) {
        if (!isMemberOf(replica, epoch) || group.get().phase() != GroupPhase.READY) {
            return OrderReply.CONFLICT;
        }
        orderCount++;
        nextPhaseMillis = nowMillis + OPEN_MILLIS;
        return OrderReply.BEGUN;
    }

    private OrderReply close(long nowMillis, String replica, long epoch) {
        if (!isMemberOf(replica, epoch) || group.get().phase() != GroupPhase.OPEN) {
            return OrderReply.CONFLICT;
        }
        orderCount++;
        setPhase(GroupPhase.CLOSING);
        nextPhaseMillis = nowMillis + CLOSE_MILLIS;
        return OrderReply.BEGUN;
    }

    private OrderReply leave(String replica, long epoch) {
        if (!isMemberOf(replica, epoch)) {
            return OrderReply.HOLDS;
        }
        orderCount++;
        group = Optional.empty();
        members = List.of();
        nextPhaseMillis = Long.MAX_VALUE;
        return OrderReply.HOLDS;
    }

    private OrderReply stage(long nowMillis, ModelId model) {
        if (stagingModel != null) {
            // The VM neither begins nor counts the order again.
            return stagingModel.equals(model) ? OrderReply.BEGUN : OrderReply.CONFLICT;
        }
        orderCount++;
        stagingModel = model;
        stagingEndMillis = nowMillis
                + models.stream()
                        .filter(spec -> spec.id().equals(model))
                        .findFirst()
                        .orElseThrow()
                        .coldLoadMillis();
        return OrderReply.BEGUN;
    }

    private boolean isMemberOf(String replica, long epoch) {
        return group.isPresent()
                && group.get().replica().value().equals(replica)
                && group.get().epoch() == epoch;
    }

    /** Advances the VM by one tick; returns true if it has just opened as a head. */
    boolean tick(long nowMillis) {
        boolean opened = updatePhase(nowMillis);
        reports.addLast(state());
        if (reports.size() > REPORT_LAG_TICKS) {
            reports.removeFirst();
        }
        return opened;
    }

    private boolean updatePhase(long nowMillis) {
        if (nowMillis >= stagingEndMillis) {
            stagedModel = Optional.of(stagingModel);
            stagingModel = null;
            stagingEndMillis = Long.MAX_VALUE;
        }
        if (nowMillis < nextPhaseMillis || group.isEmpty()) {
            return false;
        }
        nextPhaseMillis = Long.MAX_VALUE;
        GroupMembership before = group.get();
        boolean opens = before.phase() == GroupPhase.READY;
        setPhase(opens ? GroupPhase.OPEN : GroupPhase.READY);
        membershipsOnceReady.add(membership(id, before));
        return opens;
    }

    void setPhase(GroupPhase phase) {
        GroupMembership before = group.orElseThrow();
        group = Optional.of(new GroupMembership(before.replica(), before.epoch(), before.rank(), phase));
    }
}
