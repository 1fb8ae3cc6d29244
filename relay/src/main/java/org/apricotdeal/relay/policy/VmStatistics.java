package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroup;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroupId;

/** Counts what the VMs of a planner do, for logs and tests; decides nothing. */
public final class VmStatistics {
    private final ReplicaPlanner.Input turn;
    private final Set<ReplicaGroupId> releasedGroups;
    private final WeightStaging staging;
    private final Map<VmId, Long> restUntilMillis;
    private final List<ReplicaGroup> groups;

    VmStatistics(
            ReplicaPlanner.Input turn,
            Set<ReplicaGroupId> released,
            WeightStaging staging,
            Map<VmId, Long> restUntilMillis) {
        this.turn = turn;
        this.releasedGroups = released;
        this.staging = staging;
        this.restUntilMillis = restUntilMillis;
        this.groups = ReplicaGroups.of(turn.vms(), turn.engine()).stream()
                .filter(formation -> !released.contains(formation.id()))
                .toList();
    }

    /**
     * Counts the VMs by what they do.
     *
     * @return the counts
     */
    public VmCounts vmCounts() {
        Set<ReplicaGroupId> open = new HashSet<>();
        Set<ReplicaGroupId> parting = new HashSet<>(releasedGroups);
        for (ReplicaGroup formation : groups) {
            if (formation.open() && formation.complete()) {
                open.add(formation.id());
            } else if (formation.headPhase() == GroupPhase.CLOSING) {
                parting.add(formation.id());
            }
        }
        return VmCounts.of(turn.vms(), vm -> activity(vm, open, parting));
    }

    private VmActivity activity(UpstreamVm vm, Set<ReplicaGroupId> open, Set<ReplicaGroupId> parting) {
        if (isUnavailable(vm)) {
            return VmActivity.AWAY;
        }
        Optional<ReplicaGroupId> formation = vm.group().map(ReplicaGroupId::of);
        if (formation.isPresent() && !parting.contains(formation.get())) {
            return open.contains(formation.get()) ? VmActivity.SERVING : VmActivity.FORMING;
        }
        if (formation.isPresent()) {
            return VmActivity.PARTING;
        }
        if (staging.isLoading(vm)) {
            return VmActivity.LOADING;
        }
        if (turn.nowMillis() < restUntilMillis.getOrDefault(vm.id(), 0L)) {
            return VmActivity.RESTING;
        }
        return vm.stagedModels().isEmpty() && vm.loadedModel().isEmpty() ? VmActivity.BLANK : VmActivity.SPARE;
    }

    private boolean isUnavailable(UpstreamVm vm) {
        return vm.leaving() || turn.unresponsive().contains(vm.id());
    }

    /**
     * Counts what each fabric domain holds of each model.
     *
     * @return a count for each fabric domain and model, in a fixed order
     */
    public List<FabricModelCounts> fabricCounts() {
        Map<FabricDomainId, List<UpstreamVm>> fabrics = new TreeMap<>();
        for (UpstreamVm vm : turn.vms()) {
            if (!isUnavailable(vm) && vm.fabricDomain().isPresent()) {
                fabrics.computeIfAbsent(vm.fabricDomain().get(), id -> new ArrayList<>())
                        .add(vm);
            }
        }
        List<FabricModelCounts> counts = new ArrayList<>();
        fabrics.forEach((fabric, vms) ->
                turn.engine().models().forEach(model -> counts.add(fabricModelCounts(fabric, vms, model))));
        return counts;
    }

    private FabricModelCounts fabricModelCounts(FabricDomainId fabric, List<UpstreamVm> vms, ModelSpec model) {
        int serving = 0;
        int forming = 0;
        Map<VmId, ModelId> places = new HashMap<>();
        for (ReplicaGroup formation : groups) {
            formation.members().forEach(vm -> places.put(vm.id(), formation.model()));
            boolean here = formation.members().getFirst().fabricDomain().equals(Optional.of(fabric));
            if (here && formation.model().equals(model.id())) {
                serving += formation.open() && formation.complete() ? 1 : 0;
                forming += formation.open() || formation.headPhase() == GroupPhase.CLOSING ? 0 : 1;
            }
        }
        int idle = 0;
        int loading = 0;
        int elsewhere = 0;
        for (UpstreamVm vm : vms) {
            ModelId place = places.get(vm.id());
            loading += staging.isLoading(vm, model.id()) ? 1 : 0;
            boolean holds = vm.hasWeights(model.id());
            idle += place == null && holds ? 1 : 0;
            elsewhere += place != null && !place.equals(model.id()) && holds ? 1 : 0;
        }
        return new FabricModelCounts(fabric, model.id(), serving, forming, idle, loading, elsewhere);
    }
}
