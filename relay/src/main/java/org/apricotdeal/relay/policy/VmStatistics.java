package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroup;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroupId;

/** Counts the VMs of a planner by activity and model, for logs and tests; makes no decisions. */
public final class VmStatistics {
    private final ReplicaPlanner.Input input;
    private final Set<ReplicaGroupId> releasedGroups;
    private final WeightStaging staging;
    private final Predicate<VmId> resting;
    private final List<ReplicaGroup> groups;

    VmStatistics(
            ReplicaPlanner.Input input,
            Set<ReplicaGroupId> releasedGroups,
            WeightStaging staging,
            Predicate<VmId> resting) {
        this.input = input;
        this.releasedGroups = releasedGroups;
        this.staging = staging;
        this.resting = resting;
        this.groups = ReplicaGroups.of(input.vms(), input.engine()).stream()
                .filter(group -> !releasedGroups.contains(group.id()))
                .toList();
    }

    /**
     * Counts the VMs by activity.
     *
     * @return counts of all VMs of the planner
     */
    public VmCounts vmCounts() {
        Set<ReplicaGroupId> open = new HashSet<>();
        Set<ReplicaGroupId> dissolving = new HashSet<>(releasedGroups);
        for (ReplicaGroup group : groups) {
            if (group.open() && group.complete()) {
                open.add(group.id());
            } else if (group.headPhase() == GroupPhase.CLOSING) {
                dissolving.add(group.id());
            }
        }
        return VmCounts.of(input.vms(), vm -> activity(vm, open, dissolving));
    }

    private VmActivity activity(UpstreamVm vm, Set<ReplicaGroupId> open, Set<ReplicaGroupId> dissolving) {
        if (isUnavailable(vm)) {
            return VmActivity.AWAY;
        }
        Optional<ReplicaGroupId> group = vm.group().map(ReplicaGroupId::of);
        if (group.isPresent() && !dissolving.contains(group.get())) {
            return open.contains(group.get()) ? VmActivity.SERVING : VmActivity.FORMING;
        }
        if (group.isPresent()) {
            return VmActivity.PARTING;
        }
        if (staging.isLoading(vm)) {
            return VmActivity.LOADING;
        }
        if (resting.test(vm.id())) {
            return VmActivity.RESTING;
        }
        return vm.stagedModels().isEmpty() && vm.loadedModel().isEmpty() ? VmActivity.BLANK : VmActivity.SPARE;
    }

    private boolean isUnavailable(UpstreamVm vm) {
        return vm.leaving() || input.unresponsive().contains(vm.id());
    }

    /**
     * Counts the replicas and weights of each model in each fabric domain.
     *
     * @return counts ordered by fabric domain and model
     */
    public List<FabricModelCounts> fabricCounts() {
        Map<FabricDomainId, List<UpstreamVm>> fabrics = new TreeMap<>();
        for (UpstreamVm vm : input.vms()) {
            if (!isUnavailable(vm) && vm.fabricDomain().isPresent()) {
                fabrics.computeIfAbsent(vm.fabricDomain().get(), id -> new ArrayList<>())
                        .add(vm);
            }
        }
        List<FabricModelCounts> counts = new ArrayList<>();
        fabrics.forEach((fabric, vms) ->
                input.engine().models().forEach(model -> counts.add(fabricModelCounts(fabric, vms, model))));
        return counts;
    }

    private FabricModelCounts fabricModelCounts(FabricDomainId fabric, List<UpstreamVm> vms, ModelSpec model) {
        int serving = 0;
        int forming = 0;
        Map<VmId, ModelId> modelByMember = new HashMap<>();
        for (ReplicaGroup group : groups) {
            group.members().forEach(vm -> modelByMember.put(vm.id(), group.model()));
            boolean inThisFabric = group.members().getFirst().fabricDomain().equals(Optional.of(fabric));
            if (inThisFabric && group.model().equals(model.id())) {
                serving += group.open() && group.complete() ? 1 : 0;
                forming += group.open() || group.headPhase() == GroupPhase.CLOSING ? 0 : 1;
            }
        }
        int idle = 0;
        int loading = 0;
        int elsewhere = 0;
        for (UpstreamVm vm : vms) {
            ModelId memberModel = modelByMember.get(vm.id());
            loading += staging.isLoading(vm, model.id()) ? 1 : 0;
            boolean hasWeights = vm.hasWeights(model.id());
            idle += memberModel == null && hasWeights ? 1 : 0;
            elsewhere += memberModel != null && !memberModel.equals(model.id()) && hasWeights ? 1 : 0;
        }
        return new FabricModelCounts(fabric, model.id(), serving, forming, idle, loading, elsewhere);
    }
}
