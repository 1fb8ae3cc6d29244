package org.apricotdeal.standins.engine;

import java.util.List;

import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/**
 * Which weights a VM holds and which replica it belongs to, changed by orders. A VM has to be released before it joins
 * another replica or another generation, and repeating an order that has been carried out changes nothing.
 */
final class ReplicaMembership {
    private static final int NO_FENCE = 0;

    private final VmId vm;
    private final String bootId;
    private final EngineSettings.Fencing fencing;
    private EnginePhase phase = EnginePhase.IDLE;
    private UpstreamId loadedModel;
    private UpstreamId loadingModel;
    private ReplicaId replica;
    private long generation;
    private List<VmId> members = List.of();
    private long fence = NO_FENCE;

    /** What has to be done about an order. */
    sealed interface Step {}

    /** The order is done, or was before. */
    record Done() implements Step {}

    /** The weights of a model have to be loaded. */
    record StartLoad(UpstreamId model) implements Step {}

    /** The VM has left its replica; its streams have to be cut off. */
    record Left() implements Step {}

    /** The VM has become a member. */
    record Joined(List<VmId> members) implements Step {}

    record Fenced(long fence) implements Step {}

    record Refused(String detail) implements Step {}

    ReplicaMembership(VmId vm, String bootId, EngineSettings.Fencing fencing) {
        this.vm = vm;
        this.bootId = bootId;
        this.fencing = fencing;
    }

    synchronized Step take(Order order) {
        if (!order.vm().equals(vm)) {
            return new Refused("the order is for VM " + order.vm() + ", this is " + vm);
        }
        if (fencing == EngineSettings.Fencing.HONOURS) {
            if (order.fence() < fence) {
                return new Fenced(fence);
            }
            fence = order.fence();
        }
        return switch (order) {
            case Order.Load load -> load(load);
            case Order.Join join -> join(join);
            case Order.Release release -> release();
        };
    }

    private Step load(Order.Load load) {
        if (load.model().equals(loadedModel) || load.model().equals(loadingModel)) {
            return new Done();
        }
        if (phase == EnginePhase.JOINED) {
            return new Refused("belongs to replica " + replica);
        }
        phase = EnginePhase.LOADING;
        loadedModel = null;
        loadingModel = load.model();
        return new StartLoad(load.model());
    }

    /** Takes note that weights are in memory; they are dropped where another load has begun meanwhile. */
    synchronized void loaded(UpstreamId model) {
        if (model.equals(loadingModel)) {
            phase = EnginePhase.IDLE;
            loadedModel = model;
            loadingModel = null;
        }
    }

    synchronized boolean isLoading(UpstreamId model) {
        return model.equals(loadingModel);
    }

    private Step join(Order.Join join) {
        if (phase == EnginePhase.JOINED) {
            boolean isSame = join.replica().equals(replica)
                    && join.generation() == generation
                    && join.members().equals(members);
            return isSame ? new Done() : new Refused("belongs to replica " + replica + ", generation " + generation);
        }
        if (!join.model().equals(loadedModel)) {
            return new Refused("holds no weights of " + join.model());
        }
        if (!join.members().contains(vm)) {
            return new Refused("is no member of " + join.members());
        }
        phase = EnginePhase.JOINED;
        replica = join.replica();
        generation = join.generation();
        members = join.members();
        return new Joined(members);
    }

    private Step release() {
        if (phase != EnginePhase.JOINED) {
            return new Done();
        }
        phase = EnginePhase.IDLE;
        replica = null;
        generation = 0;
        members = List.of();
        return new Left();
    }

    synchronized EngineState state(EngineLoad load) {
        return new EngineState(vm, bootId, phase, replica, generation, members, fence, loadedModel, load);
    }

    /** Tells whether the VM is the first member of a replica that serves a model. */
    synchronized boolean isFirstMemberFor(String model) {
        return phase == EnginePhase.JOINED
                && members.getFirst().equals(vm)
                && loadedModel.value().equals(model);
    }
}
