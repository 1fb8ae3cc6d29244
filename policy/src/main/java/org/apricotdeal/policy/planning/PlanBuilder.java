package org.apricotdeal.policy.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;

/**
 * Builds the next plan from the previous plan and the current state of the fleet, with as few changes as possible. A replica
 * that has all its members is not changed. A broken replica that cannot be completed is kept, because its members may
 * recover.
 *
 * <p>Each broken replica is repaired by the cheapest step that completes it. Each step is tried for all replicas before the
 * next, more expensive one:
 *
 * <ol>
 *   <li>Use spares of the same fabric domain that have the weights loaded.
 *   <li>Use spares of the same fabric domain that have to load the weights.
 *   <li>Use survivors of other broken replicas of the same fabric domain, which are dropped.
 *   <li>Form new replicas within one fabric domain.
 *   <li>Complete or form the remaining replicas across fabric domains. Such a replica is slow, but better than none. It is
 *       regrouped when one fabric domain can hold all its members.
 * </ol>
 *
 * <p>A leaving member counts as lost once its release interrupts no request. Its replica takes no new work from the time at
 * which the member is seen to be leaving, so waiting longer gains nothing.
 *
 * <p>Optional changes, which are the demotion of stragglers and regrouping, need spares that have the weights loaded, so
 * that the replica is unavailable only while the orders are carried out. They are made one at a time, and only while every
 * replica of the model matches the previous plan.
 *
 * <p>Rejected alternative: merging two broken replicas immediately, instead of waiting for cold spares, would restore one of
 * them sooner, but the weights for the other would be loaded later.
 */
final class PlanBuilder {
    private final FleetSnapshot fleet;
    private final Plan previous;
    private final List<ReplicaDraft> drafts = new ArrayList<>();
    private final TreeSet<VmId> freeVms = new TreeSet<>();
    private final List<PlanStep> steps = new ArrayList<>();
    private long nextReplica;

    private PlanBuilder(Plan previous, FleetSnapshot fleet) {
        this.previous = previous;
        this.fleet = fleet;
        this.nextReplica = previous.nextReplica();
    }

    /**
     * Builds the next plan.
     *
     * @param previous the committed plan
     * @param fleet the current state of the fleet
     * @param models all models of the catalogue
     * @return the proposal; its content equals that of the previous plan if nothing has to change
     */
    static PlanProposal build(Plan previous, FleetSnapshot fleet, List<ModelEntry> models) {
        PlanBuilder builder = new PlanBuilder(previous, fleet);
        List<ModelEntry> byWorth = new ArrayList<>(models);
        byWorth.sort(Comparator.comparingDouble(ModelEntry::worth).reversed().thenComparing(ModelEntry::id));
        for (ModelEntry model : byWorth) {
            builder.planModel(model);
        }
        return builder.proposal(models);
    }

    private void planModel(ModelEntry model) {
        List<ReplicaDraft> replicas = draftExistingReplicas(model);
        dropSurplusReplicas(model, replicas);
        collectFreeVms(model, replicas);
        repairWithWarmSpares(replicas);
        repairWithColdSpares(replicas);
        repairByMerging(replicas);
        formReplicas(model, replicas);
        spanFabricDomains(model, replicas);
        if (matchesPreviousPlan(model)) {
            boolean regrouped = regroupOneReplica(replicas);
            if (!regrouped) {
                demoteOneStraggler(replicas);
            }
        }
        dropReplicasWithReusedMembers(replicas);
        drafts.addAll(replicas);
    }

    /** Drops broken replicas that list a member which has restarted and become a member of another replica. */
    private void dropReplicasWithReusedMembers(List<ReplicaDraft> replicas) {
        Set<VmId> usedVms = new HashSet<>();
        for (ReplicaDraft replica : replicas) {
            usedVms.addAll(replica.isBroken() ? List.of() : replica.survivors());
        }
        for (ReplicaDraft replica : List.copyOf(replicas)) {
            if (replica.isBroken() && replica.toPlanned().vms().stream().anyMatch(usedVms::contains)) {
                dropReplica(replicas, replica);
            }
        }
    }

    private List<ReplicaDraft> draftExistingReplicas(ModelEntry model) {
        List<ReplicaDraft> replicas = new ArrayList<>();
        for (PlannedReplica existing : previous.replicas()) {
            if (existing.model().equals(model.id())) {
                replicas.add(ReplicaDraft.fromPlanned(existing, model, fleet));
            }
        }
        return replicas;
    }

    /** Drops replicas above the configured number, those with the fewest survivors first, and of these the newest first. */
    private void dropSurplusReplicas(ModelEntry model, List<ReplicaDraft> replicas) {
        while (replicas.size() > model.replicasPerFailureDomain()) {
            ReplicaDraft surplus = replicas.getFirst();
            for (ReplicaDraft replica : replicas) {
                if (replica.survivors().size() <= surplus.survivors().size()) {
                    surplus = replica;
                }
            }
            dropReplica(replicas, surplus);
        }
    }

    private void collectFreeVms(ModelEntry model, List<ReplicaDraft> replicas) {
        freeVms.clear();
        Set<VmId> memberVms = new HashSet<>();
        for (ReplicaDraft replica : replicas) {
            memberVms.addAll(replica.survivors());
        }
        for (Vm vm : fleet.vms()) {
            if (!memberVms.contains(vm.id()) && fleet.isUsable(vm.id(), model.id())) {
                freeVms.add(vm.id());
            }
        }
    }

    private void repairWithWarmSpares(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : brokenByMostSurvivors(replicas)) {
            repairWithinFabricDomain(replica, true);
        }
    }

    private void repairWithColdSpares(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : brokenByMostSurvivors(replicas)) {
            repairWithinFabricDomain(replica, false);
        }
    }

    /** Completes a broken replica within the fabric domain that needs the fewest spares, if any has enough of them. */
    private void repairWithinFabricDomain(ReplicaDraft replica, boolean warmOnly) {
        if (!replica.isBroken()) {
            return;
        }
        FabricDomainId bestFabric = null;
        int bestSurvivors = -1;
        for (FabricDomainId fabric : fabricDomains(replica)) {
            int survivors = replica.countSurvivorsIn(fabric, fleet);
            int spares = spares(replica.model(), fabric, warmOnly).size();
            if (survivors + spares >= replica.model().vmsPerReplica() && survivors > bestSurvivors) {
                bestFabric = fabric;
                bestSurvivors = survivors;
            }
        }
        if (bestFabric == null) {
            return;
        }
        moveToFabricDomain(replica, bestFabric);
        fillSlots(
                replica,
                spares(replica.model(), bestFabric, warmOnly),
                warmOnly ? RepairStep.WARM_SPARE : RepairStep.COLD_SPARE);
    }

    /** Completes broken replicas with survivors of other broken replicas in the same fabric domain, which are dropped. */
    private void repairByMerging(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : brokenByMostSurvivors(replicas)) {
            if (replica.isBroken() && replicas.contains(replica)) {
                mergeWithinFabricDomain(replica, replicas);
            }
        }
    }

    private void mergeWithinFabricDomain(ReplicaDraft replica, List<ReplicaDraft> replicas) {
        for (FabricDomainId fabric : fabricDomains(replica)) {
            int availableVms = replica.countSurvivorsIn(fabric, fleet)
                    + spares(replica.model(), fabric, false).size();
            List<ReplicaDraft> donors = new ArrayList<>();
            for (ReplicaDraft donor : brokenByFewestSurvivors(replicas)) {
                int donatedVms = 0;
                for (VmId vm : donor.usableSurvivors(fleet)) {
                    donatedVms += fabric.equals(fleet.fabricDomain(vm)) ? 1 : 0;
                }
                if (donor == replica
                        || donatedVms == 0
                        || availableVms >= replica.model().vmsPerReplica()) {
                    continue;
                }
                donors.add(donor);
                availableVms += donatedVms;
            }
            if (replica.countSurvivorsIn(fabric, fleet) == 0
                    || availableVms < replica.model().vmsPerReplica()) {
                continue;
            }
            donors.forEach(donor -> dropReplica(replicas, donor));
            moveToFabricDomain(replica, fabric);
            fillSlots(replica, spares(replica.model(), fabric, false), RepairStep.MERGE);
            return;
        }
    }

    private void formReplicas(ModelEntry model, List<ReplicaDraft> replicas) {
        for (FabricDomainId fabric : fabricDomainsOfFreeVms()) {
            while (replicas.size() < model.replicasPerFailureDomain()
                    && spares(model, fabric, false).size() >= model.vmsPerReplica()) {
                ReplicaDraft replica = ReplicaDraft.empty(nextReplicaId(model), model);
                replicas.add(replica);
                fillSlots(replica, spares(model, fabric, false), RepairStep.FORM);
            }
        }
    }

    /** Uses free VMs and survivors of all fabric domains to complete or form the replicas that are still missing. */
    private void spanFabricDomains(ModelEntry model, List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : brokenByMostSurvivors(replicas)) {
            if (replica.isBroken() && replicas.contains(replica)) {
                spanWithDonors(replica, replicas);
            }
        }
        while (replicas.size() < model.replicasPerFailureDomain() && freeVms.size() >= model.vmsPerReplica()) {
            ReplicaDraft replica = ReplicaDraft.empty(nextReplicaId(model), model);
            replicas.add(replica);
            fillSlots(replica, allSpares(model), RepairStep.SPAN);
        }
    }

    private void spanWithDonors(ReplicaDraft replica, List<ReplicaDraft> replicas) {
        int availableVms = replica.survivors().size() + freeVms.size();
        List<ReplicaDraft> donors = new ArrayList<>();
        for (ReplicaDraft donor : brokenByFewestSurvivors(replicas)) {
            int donatedVms = donor.usableSurvivors(fleet).size();
            if (donor == replica
                    || donatedVms == 0
                    || availableVms >= replica.model().vmsPerReplica()) {
                continue;
            }
            donors.add(donor);
            availableVms += donatedVms;
        }
        if (availableVms < replica.model().vmsPerReplica()) {
            return;
        }
        donors.forEach(donor -> dropReplica(replicas, donor));
        fillSlots(replica, allSpares(replica.model()), RepairStep.SPAN);
    }

    private boolean matchesPreviousPlan(ModelEntry model) {
        for (PlannedReplica replica : previous.replicas()) {
            if (replica.model().equals(model.id()) && !fleet.matchesPlan(replica)) {
                return false;
            }
        }
        return steps.isEmpty();
    }

    private boolean regroupOneReplica(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : replicas) {
            if (!replica.isSpanning()) {
                continue;
            }
            for (FabricDomainId fabric : fabricDomains(replica)) {
                List<VmId> spares = spares(replica.model(), fabric, true);
                if (replica.countSurvivorsIn(fabric, fleet) + spares.size()
                        >= replica.model().vmsPerReplica()) {
                    moveToFabricDomain(replica, fabric);
                    fillSlots(replica, spares(replica.model(), fabric, true), RepairStep.REGROUP);
                    return true;
                }
            }
        }
        return false;
    }

    private void demoteOneStraggler(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : replicas) {
            for (VmId vm : replica.survivors()) {
                if (fleet.isStraggler(vm) && replaceBySpare(replica, vm)) {
                    return;
                }
            }
        }
    }

    private boolean replaceBySpare(ReplicaDraft replica, VmId vm) {
        FabricDomainId fabric = fleet.fabricDomain(vm);
        if (fabric == null) {
            return false;
        }
        for (VmId spare : spares(replica.model(), fabric, true)) {
            if (!fleet.isStraggler(spare)) {
                replica.removeMember(vm);
                fillSlots(replica, List.of(spare), RepairStep.DEMOTE_STRAGGLER);
                addToFreeVms(vm, replica.model());
                return true;
            }
        }
        return false;
    }

    private void moveToFabricDomain(ReplicaDraft replica, FabricDomainId fabric) {
        for (VmId vm : replica.removeMembersOutside(fabric, fleet)) {
            addToFreeVms(vm, replica.model());
        }
    }

    private void fillSlots(ReplicaDraft replica, List<VmId> candidates, RepairStep step) {
        int missing = replica.model().vmsPerReplica() - replica.survivors().size();
        List<VmId> chosen = candidates.subList(0, missing);
        replica.fillSlots(chosen, fleet);
        chosen.forEach(freeVms::remove);
        steps.add(new PlanStep(step, replica.id(), replica.generation()));
    }

    private void dropReplica(List<ReplicaDraft> replicas, ReplicaDraft replica) {
        replicas.remove(replica);
        replica.survivors().forEach(vm -> addToFreeVms(vm, replica.model()));
        steps.add(new PlanStep(RepairStep.DROP, replica.id(), replica.generation()));
    }

    private void addToFreeVms(VmId vm, ModelEntry model) {
        if (fleet.isUsable(vm, model.id())) {
            freeVms.add(vm);
        }
    }

    private ReplicaId nextReplicaId(ModelEntry model) {
        return new ReplicaId(model.id() + "-" + nextReplica++);
    }

    /** Returns the free VMs of a fabric domain, those with the weights loaded first and stragglers last. */
    private List<VmId> spares(ModelEntry model, FabricDomainId fabric, boolean warmOnly) {
        List<VmId> spares = new ArrayList<>();
        for (VmId vm : allSpares(model)) {
            if (fabric.equals(fleet.fabricDomain(vm)) && (!warmOnly || fleet.isWarm(vm, model.id()))) {
                spares.add(vm);
            }
        }
        return spares;
    }

    private List<VmId> allSpares(ModelEntry model) {
        List<VmId> spares = new ArrayList<>(freeVms);
        spares.sort(Comparator.comparing(fleet::isStraggler)
                .thenComparing(vm -> !fleet.isWarm(vm, model.id()))
                .thenComparing(fleet::fabricDomain)
                .thenComparing(Comparator.naturalOrder()));
        return spares;
    }

    private Set<FabricDomainId> fabricDomainsOfFreeVms() {
        TreeSet<FabricDomainId> fabrics = new TreeSet<>();
        freeVms.forEach(vm -> fabrics.add(fleet.fabricDomain(vm)));
        return fabrics;
    }

    private Set<FabricDomainId> fabricDomains(ReplicaDraft replica) {
        Set<FabricDomainId> fabrics = fabricDomainsOfFreeVms();
        for (VmId vm : replica.survivors()) {
            if (fleet.fabricDomain(vm) != null) {
                fabrics.add(fleet.fabricDomain(vm));
            }
        }
        return fabrics;
    }

    private static List<ReplicaDraft> brokenByMostSurvivors(List<ReplicaDraft> replicas) {
        List<ReplicaDraft> broken = brokenByFewestSurvivors(replicas);
        return broken.reversed();
    }

    private static List<ReplicaDraft> brokenByFewestSurvivors(List<ReplicaDraft> replicas) {
        List<ReplicaDraft> broken = new ArrayList<>();
        for (ReplicaDraft replica : replicas) {
            if (replica.isBroken()) {
                broken.add(replica);
            }
        }
        broken.sort(Comparator.comparingInt((ReplicaDraft r) -> r.survivors().size())
                .thenComparing(ReplicaDraft::id, Comparator.reverseOrder()));
        return broken;
    }

    private PlanProposal proposal(List<ModelEntry> models) {
        List<PlannedReplica> replicas = new ArrayList<>();
        Set<VmId> members = new HashSet<>();
        for (ReplicaDraft draft : drafts) {
            PlannedReplica planned = draft.toPlanned();
            replicas.add(planned);
            members.addAll(planned.vms());
        }
        replicas.sort(Comparator.comparing(PlannedReplica::id));
        List<VmId> spares = new ArrayList<>();
        List<VmId> resting = new ArrayList<>();
        for (Vm vm : fleet.vms()) {
            boolean modelInCatalogue = models.stream().anyMatch(m -> m.id().equals(vm.upstream()));
            if (!modelInCatalogue || members.contains(vm.id())) {
                continue;
            }
            (fleet.isUsable(vm.id(), vm.upstream()) ? spares : resting).add(vm.id());
        }
        Plan plan = new Plan(
                previous.version(),
                previous.failureDomain(),
                previous.planner(),
                nextReplica,
                replicas,
                spares,
                resting,
                previous.nodes());
        return new PlanProposal(plan, steps);
    }
}
