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

/** A model VM as the platform describes it: orders conditioned on their count, memberships nobody checks for it. */
final class SimVm {
    static final long FORM_MILLIS = 300;
    private static final long REJOIN_MILLIS = 200;

    /** Longest answers take several seconds. */
    private static final long CLOSE_MILLIS = 3_000;

    /** A report is about 300 ms old. */
    private static final int REPORT_LAG_TICKS = 3;

    final VmId id;
    final FabricDomainId fabric;
    List<ModelSpec> models;
    long startedMillis;
    boolean dead;
    boolean leaving;
    long orders;
    Optional<GroupMembership> group = Optional.empty();
    List<VmId> members = List.of();
    Optional<ModelId> staged = Optional.empty();
    Optional<ModelId> loaded = Optional.empty();
    long stallSinceMillis = -1;
    private long highestNumber;
    private long phaseAtMillis = Long.MAX_VALUE;
    private long stagedAtMillis = Long.MAX_VALUE;
    private ModelId staging;

    /** Memberships that were ready once, as {@code vm/replica/number}. */
    private final Set<String> readyOnce;

    private final Deque<VmReport> reports = new ArrayDeque<>();

    SimVm(VmId id, FabricDomainId fabric, List<ModelSpec> models, Set<String> readyOnce, long startedMillis) {
        this.id = id;
        this.fabric = fabric;
        this.models = models;
        this.readyOnce = readyOnce;
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
                12,
                leaving,
                startedMillis,
                UpstreamVm.ORDER_COUNT_UNKNOWN,
                staged.stream().toList(),
                loaded,
                group);
    }

    /** Returns what the VM reports: its state of some time ago, where it was running then. */
    VmReport report() {
        return reports.isEmpty() ? state() : reports.getFirst();
    }

    private VmReport state() {
        return new VmReport(
                Optional.of(fabric),
                startedMillis,
                orders,
                false,
                staged.stream().toList(),
                loaded,
                group,
                0,
                0,
                1);
    }

    /** Starts again with nothing but the weights on its host. */
    void restart(long nowMillis) {
        reports.clear();
        dead = false;
        startedMillis = nowMillis;
        orders = 0;
        group = Optional.empty();
        members = List.of();
        loaded = Optional.empty();
        highestNumber = 0;
        phaseAtMillis = Long.MAX_VALUE;
        stallSinceMillis = -1;
    }

    OrderReply take(long nowMillis, long expected, ReplicaOrder order) {
        if (expected != orders) {
            return OrderReply.CONFLICT;
        }
        return switch (order) {
            case ReplicaOrder.Join join -> join(nowMillis, join);
            case ReplicaOrder.Open(var replica, long number) -> open(nowMillis, replica.value(), number);
            case ReplicaOrder.Close(var replica, long number) -> close(nowMillis, replica.value(), number);
            case ReplicaOrder.Leave(var replica, long number) -> leave(replica.value(), number);
            case ReplicaOrder.Stage(var model) -> stage(nowMillis, model);
        };
    }

    private OrderReply join(long nowMillis, ReplicaOrder.Join join) {
        if (join.number() < highestNumber) {
            return OrderReply.OUTDATED;
        }
        highestNumber = join.number();
        orders++;
        group = Optional.of(new GroupMembership(
                join.replica(), join.number(), join.members().indexOf(id), GroupPhase.JOINING));
        members = join.members();
        stallSinceMillis = -1;
        ModelSpec spec = models.stream()
                .filter(model -> model.id().equals(join.model()))
                .findFirst()
                .orElseThrow();
        boolean again = loaded.filter(join.model()::equals).isPresent();
        boolean warm = staged.filter(join.model()::equals).isPresent();
        phaseAtMillis = nowMillis + (again ? REJOIN_MILLIS : warm ? spec.warmLoadMillis() : spec.coldLoadMillis());
        loaded = Optional.of(join.model());
        // Only a load puts weights onto the host; a VM that was a member of the model's replica before needs none.
        if (!again && !warm) {
            staged = loaded;
        }
        return OrderReply.BEGUN;
    }

    private OrderReply open(long nowMillis, String replica, long number) {
        if (!isIn(replica, number) || group.get().phase() != GroupPhase.READY) {
            return OrderReply.CONFLICT;
        }
        orders++;
        phaseAtMillis = nowMillis + FORM_MILLIS;
        return OrderReply.BEGUN;
    }

    private OrderReply close(long nowMillis, String replica, long number) {
        if (!isIn(replica, number) || group.get().phase() != GroupPhase.OPEN) {
            return OrderReply.CONFLICT;
        }
        orders++;
        phase(GroupPhase.CLOSING);
        phaseAtMillis = nowMillis + CLOSE_MILLIS;
        return OrderReply.BEGUN;
    }

    private OrderReply leave(String replica, long number) {
        if (!isIn(replica, number)) {
            return OrderReply.HOLDS;
        }
        orders++;
        group = Optional.empty();
        members = List.of();
        phaseAtMillis = Long.MAX_VALUE;
        return OrderReply.HOLDS;
    }

    private OrderReply stage(long nowMillis, ModelId model) {
        if (staging != null) {
            return OrderReply.CONFLICT;
        }
        orders++;
        staging = model;
        stagedAtMillis = nowMillis
                + models.stream()
                        .filter(spec -> spec.id().equals(model))
                        .findFirst()
                        .orElseThrow()
                        .coldLoadMillis();
        return OrderReply.BEGUN;
    }

    private boolean isIn(String replica, long number) {
        return group.isPresent()
                && group.get().replica().value().equals(replica)
                && group.get().epoch() == number;
    }

    /** Moves on; returns true where the VM has just opened as a head. */
    boolean tick(long nowMillis) {
        boolean opened = move(nowMillis);
        reports.addLast(state());
        if (reports.size() > REPORT_LAG_TICKS) {
            reports.removeFirst();
        }
        return opened;
    }

    private boolean move(long nowMillis) {
        if (nowMillis >= stagedAtMillis) {
            staged = Optional.of(staging);
            staging = null;
            stagedAtMillis = Long.MAX_VALUE;
        }
        if (nowMillis < phaseAtMillis || group.isEmpty()) {
            return false;
        }
        phaseAtMillis = Long.MAX_VALUE;
        GroupMembership before = group.get();
        boolean opens = before.phase() == GroupPhase.READY;
        phase(opens ? GroupPhase.OPEN : GroupPhase.READY);
        readyOnce.add(membership(id, before));
        return opens;
    }

    void phase(GroupPhase phase) {
        GroupMembership before = group.orElseThrow();
        group = Optional.of(new GroupMembership(before.replica(), before.epoch(), before.rank(), phase));
    }
}
