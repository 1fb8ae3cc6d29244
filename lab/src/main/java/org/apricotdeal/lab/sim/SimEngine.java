package org.apricotdeal.lab.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * A fake of one VM's model engine. It honours or ignores fencing numbers, takes time to load weights, loses all it held
 * when it restarts, and remembers for the checks when it was last a member of which replica.
 */
public final class SimEngine {
    private final VmId vm;
    private final OrderCheck orderCheck;
    private final Scheduler scheduler;
    private final long loadMillis;
    private final Map<Membership, Long> endedMillis = new HashMap<>();
    private boolean up = true;
    private long boot = 1;
    private EnginePhase phase = EnginePhase.IDLE;
    private Membership joined;
    private long fence;
    private UpstreamId loadedModel;

    /**
     * What an engine has joined.
     *
     * @param replica the replica
     * @param generation its generation
     * @param members its members by rank
     */
    public record Membership(ReplicaId replica, long generation, List<VmId> members) {}

    /**
     * Creates an engine that has just started.
     *
     * @param vm its VM
     * @param orderCheck what it does with old fencing numbers
     * @param scheduler virtual clock of the run
     * @param loadMillis time that loading weights takes
     */
    public SimEngine(VmId vm, OrderCheck orderCheck, Scheduler scheduler, long loadMillis) {
        this.vm = vm;
        this.orderCheck = orderCheck;
        this.scheduler = scheduler;
        this.loadMillis = loadMillis;
    }

    /**
     * Returns what the engine reports.
     *
     * @return its state
     */
    public EngineState state() {
        return new EngineState(
                vm,
                "boot-" + boot,
                phase,
                joined == null ? null : joined.replica(),
                joined == null ? 0 : joined.generation(),
                joined == null ? List.of() : joined.members(),
                fence,
                loadedModel,
                EngineLoad.NONE);
    }

    /**
     * Carries out an order.
     *
     * @param order the order
     * @return what came of it
     */
    public OrderOutcome order(Order order) {
        if (orderCheck == OrderCheck.HONOURS_FENCING && order.fence() < fence) {
            return new OrderOutcome.Fenced(fence);
        }
        fence = Math.max(fence, order.fence());
        return switch (order) {
            case Order.Release release -> {
                leave();
                yield new OrderOutcome.Accepted(state());
            }
            case Order.Load load -> load(load);
            case Order.Join join -> join(join);
        };
    }

    /** Loses everything and stays down. */
    public void kill() {
        leave();
        up = false;
        phase = EnginePhase.IDLE;
        loadedModel = null;
        fence = 0;
    }

    /** Starts again, without weights. */
    public void start() {
        up = true;
        boot++;
    }

    /**
     * Tells whether the engine runs.
     *
     * @return false between {@link #kill()} and {@link #start()}
     */
    public boolean isUp() {
        return up;
    }

    /**
     * Returns what the engine has joined.
     *
     * @return the replica, or null where it belongs to none
     */
    public Membership joined() {
        return joined;
    }

    /**
     * Returns the last moment at which the engine was a member of a replica.
     *
     * @param membership the replica
     * @return now where it still is, a negative time where it never was
     */
    public long memberUntilMillis(Membership membership) {
        if (membership.equals(joined)) {
            return scheduler.monotonicMillis();
        }
        return endedMillis.getOrDefault(membership, Long.MIN_VALUE / 2);
    }

    private OrderOutcome load(Order.Load load) {
        if (phase == EnginePhase.JOINED) {
            return new OrderOutcome.Refused("is a member of " + joined.replica());
        }
        if (phase == EnginePhase.LOADING || load.model().equals(loadedModel)) {
            return new OrderOutcome.Accepted(state());
        }
        phase = EnginePhase.LOADING;
        loadedModel = null;
        long loadingBoot = boot;
        scheduler.after(loadMillis, () -> loaded(loadingBoot, load.model()));
        return new OrderOutcome.Accepted(state());
    }

    private void loaded(long loadingBoot, UpstreamId model) {
        if (boot != loadingBoot || !up || phase != EnginePhase.LOADING) {
            return;
        }
        phase = EnginePhase.IDLE;
        loadedModel = model;
    }

    private OrderOutcome join(Order.Join join) {
        Membership wanted = new Membership(join.replica(), join.generation(), join.members());
        if (wanted.equals(joined)) {
            return new OrderOutcome.Accepted(state());
        }
        if (phase == EnginePhase.LOADING || !join.model().equals(loadedModel)) {
            return new OrderOutcome.Refused("does not hold the weights");
        }
        Invariants.check(
                joined == null,
                "vm-in-one-replica",
                () -> vm + " is told to join " + wanted + " while it is a member of " + joined);
        joined = wanted;
        phase = EnginePhase.JOINED;
        return new OrderOutcome.Accepted(state());
    }

    private void leave() {
        if (joined != null) {
            endedMillis.put(joined, scheduler.monotonicMillis());
            joined = null;
            phase = EnginePhase.IDLE;
        }
    }
}
