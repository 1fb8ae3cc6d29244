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
 * Builds the next plan from the last one and the fleet as it is seen now. It changes as little as it can: a replica whose
 * members are all there is left alone, and a broken one that nothing can complete is kept as it is, for its members may
 * come back by themselves.
 *
 * <p>Each broken replica is repaired by the cheapest step that completes it, and all replicas get their chance at a cheap
 * step before any gets one at a dearer step: first spares of the same fabric domain that hold the weights, then spares of
 * the same fabric domain that must load them, then survivors of other broken replicas of that fabric domain, which ends
 * those replicas. New replicas are formed within a fabric domain after that. Only what is then still wanted is completed
 * across fabric domains; such a replica is slow, but better than none, and regroups when one fabric domain can hold it.
 *
 * <p>A leaving member counts as lost once nothing runs any more that its release would cut off: its replica takes no new
 * work from the moment that it is seen to leave, so nothing is gained by waiting longer.
 *
 * <p>Changes that nothing forces wait for a spare that holds the weights, so that the replica is down for the orders only:
 * the demotion of stragglers, and regrouping. They are done one at a time, and only while every replica of the model is
 * settled.
 *
 * <p>Traded away: merging two broken replicas at once would bring one of them back sooner than waiting for cold spares,
 * at the price of the other's weights being loaded later.
 */
final class PlanBuilder {
    private final Fleet fleet;
    private final Plan previous;
    private final List<ReplicaDraft> drafts = new ArrayList<>();
    private final TreeSet<VmId> free = new TreeSet<>();
    private final List<PlanStep> steps = new ArrayList<>();
    private long nextReplica;

    private PlanBuilder(Plan previous, Fleet fleet) {
        this.previous = previous;
        this.fleet = fleet;
        this.nextReplica = previous.nextReplica();
    }

    /**
     * Builds the next plan.
     *
     * @param previous the committed plan
     * @param fleet the fleet as seen now
     * @param models models of the catalogue
     * @return the proposal; the same content as before where nothing has to change
     */
    static PlanProposal build(Plan previous, Fleet fleet, List<ModelEntry> models) {
        PlanBuilder builder = new PlanBuilder(previous, fleet);
        List<ModelEntry> byWorth = new ArrayList<>(models);
        byWorth.sort(Comparator.comparingDouble(ModelEntry::worth).reversed().thenComparing(ModelEntry::id));
        for (ModelEntry model : byWorth) {
            builder.planModel(model);
        }
        return builder.proposal(models);
    }

    private void planModel(ModelEntry model) {
        List<ReplicaDraft> replicas = takeOverReplicas(model);
        dropUnwanted(model, replicas);
        collectFree(model, replicas);
        repairWithWarmSpares(replicas);
        repairWithColdSpares(replicas);
        repairByMerging(replicas);
        formReplicas(model, replicas);
        spanFabricDomains(model, replicas);
        if (isSettled(model)) {
            boolean regrouped = regroupOne(replicas);
            if (!regrouped) {
                demoteOneStraggler(replicas);
            }
        }
        dropRobbed(replicas);
        drafts.addAll(replicas);
    }

    /** Drops broken replicas of which a restarted member has entered another replica. */
    private void dropRobbed(List<ReplicaDraft> replicas) {
        Set<VmId> used = new HashSet<>();
        for (ReplicaDraft replica : replicas) {
            used.addAll(replica.isBroken() ? List.of() : replica.survivors());
        }
        for (ReplicaDraft replica : List.copyOf(replicas)) {
            if (replica.isBroken() && replica.planned().vms().stream().anyMatch(used::contains)) {
                drop(replicas, replica);
            }
        }
    }

    private List<ReplicaDraft> takeOverReplicas(ModelEntry model) {
        List<ReplicaDraft> replicas = new ArrayList<>();
        for (PlannedReplica former : previous.replicas()) {
            if (former.model().equals(model.id())) {
                replicas.add(ReplicaDraft.of(former, model, fleet));
            }
        }
        return replicas;
    }

    /** Drops replicas above the wanted number: those with the fewest survivors first, then the newest. */
    private void dropUnwanted(ModelEntry model, List<ReplicaDraft> replicas) {
        while (replicas.size() > model.replicasPerFailureDomain()) {
            ReplicaDraft least = replicas.getFirst();
            for (ReplicaDraft replica : replicas) {
                if (replica.survivors().size() <= least.survivors().size()) {
                    least = replica;
                }
            }
            drop(replicas, least);
        }
    }

    private void collectFree(ModelEntry model, List<ReplicaDraft> replicas) {
        free.clear();
        Set<VmId> taken = new HashSet<>();
        for (ReplicaDraft replica : replicas) {
            taken.addAll(replica.survivors());
        }
        for (Vm vm : fleet.vms()) {
            if (!taken.contains(vm.id()) && fleet.isUsable(vm.id(), model.id())) {
                free.add(vm.id());
            }
        }
    }

    private void repairWithWarmSpares(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : mostSurvivorsFirst(replicas)) {
            repairWithin(replica, true);
        }
    }

    private void repairWithColdSpares(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : mostSurvivorsFirst(replicas)) {
            repairWithin(replica, false);
        }
    }

    /** Completes a broken replica within the fabric domain that needs the fewest spares, if there is one. */
    private void repairWithin(ReplicaDraft replica, boolean warmOnly) {
        if (!replica.isBroken()) {
            return;
        }
        FabricDomainId best = null;
        int bestSurvivors = -1;
        for (FabricDomainId fabric : fabricDomains(replica)) {
            int survivors = replica.survivorsIn(fabric, fleet);
            int spares = spares(replica.model(), fabric, warmOnly).size();
            if (survivors + spares >= replica.model().vmsPerReplica() && survivors > bestSurvivors) {
                best = fabric;
                bestSurvivors = survivors;
            }
        }
        if (best == null) {
            return;
        }
        moveInto(replica, best);
        fill(
                replica,
                spares(replica.model(), best, warmOnly),
                warmOnly ? RepairStep.WARM_SPARE : RepairStep.COLD_SPARE);
    }

    /** Completes broken replicas by survivors of other broken ones of the same fabric domain, which are dropped. */
    private void repairByMerging(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : mostSurvivorsFirst(replicas)) {
            if (replica.isBroken() && replicas.contains(replica)) {
                mergeWithin(replica, replicas);
            }
        }
    }

    private void mergeWithin(ReplicaDraft replica, List<ReplicaDraft> replicas) {
        for (FabricDomainId fabric : fabricDomains(replica)) {
            int have = replica.survivorsIn(fabric, fleet)
                    + spares(replica.model(), fabric, false).size();
            List<ReplicaDraft> donors = new ArrayList<>();
            for (ReplicaDraft donor : fewestSurvivorsFirst(replicas)) {
                int given = 0;
                for (VmId vm : donor.usableSurvivors(fleet)) {
                    given += fabric.equals(fleet.fabricDomain(vm)) ? 1 : 0;
                }
                if (donor == replica || given == 0 || have >= replica.model().vmsPerReplica()) {
                    continue;
                }
                donors.add(donor);
                have += given;
            }
            if (replica.survivorsIn(fabric, fleet) == 0
                    || have < replica.model().vmsPerReplica()) {
                continue;
            }
            donors.forEach(donor -> drop(replicas, donor));
            moveInto(replica, fabric);
            fill(replica, spares(replica.model(), fabric, false), RepairStep.MERGE);
            return;
        }
    }

    private void formReplicas(ModelEntry model, List<ReplicaDraft> replicas) {
        for (FabricDomainId fabric : fabricDomainsOfFree()) {
            while (replicas.size() < model.replicasPerFailureDomain()
                    && spares(model, fabric, false).size() >= model.vmsPerReplica()) {
                ReplicaDraft replica = ReplicaDraft.empty(newId(model), model);
                replicas.add(replica);
                fill(replica, spares(model, fabric, false), RepairStep.FORM);
            }
        }
    }

    /** Completes or forms what is still wanted from whatever is left in all fabric domains. */
    private void spanFabricDomains(ModelEntry model, List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : mostSurvivorsFirst(replicas)) {
            if (replica.isBroken() && replicas.contains(replica)) {
                spanWithDonors(replica, replicas);
            }
        }
        while (replicas.size() < model.replicasPerFailureDomain() && free.size() >= model.vmsPerReplica()) {
            ReplicaDraft replica = ReplicaDraft.empty(newId(model), model);
            replicas.add(replica);
            fill(replica, sparesOfAll(model), RepairStep.SPAN);
        }
    }

    private void spanWithDonors(ReplicaDraft replica, List<ReplicaDraft> replicas) {
        int have = replica.survivors().size() + free.size();
        List<ReplicaDraft> donors = new ArrayList<>();
        for (ReplicaDraft donor : fewestSurvivorsFirst(replicas)) {
            int given = donor.usableSurvivors(fleet).size();
            if (donor == replica || given == 0 || have >= replica.model().vmsPerReplica()) {
                continue;
            }
            donors.add(donor);
            have += given;
        }
        if (have < replica.model().vmsPerReplica()) {
            return;
        }
        donors.forEach(donor -> drop(replicas, donor));
        fill(replica, sparesOfAll(replica.model()), RepairStep.SPAN);
    }

    private boolean isSettled(ModelEntry model) {
        for (PlannedReplica replica : previous.replicas()) {
            if (replica.model().equals(model.id()) && !fleet.isSettled(replica)) {
                return false;
            }
        }
        return steps.isEmpty();
    }

    private boolean regroupOne(List<ReplicaDraft> replicas) {
        for (ReplicaDraft replica : replicas) {
            if (!replica.isSpanning()) {
                continue;
            }
            for (FabricDomainId fabric : fabricDomains(replica)) {
                List<VmId> spares = spares(replica.model(), fabric, true);
                if (replica.survivorsIn(fabric, fleet) + spares.size()
                        >= replica.model().vmsPerReplica()) {
                    moveInto(replica, fabric);
                    fill(replica, spares(replica.model(), fabric, true), RepairStep.REGROUP);
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
                replica.vacate(vm);
                fill(replica, List.of(spare), RepairStep.DEMOTE_STRAGGLER);
                release(vm, replica.model());
                return true;
            }
        }
        return false;
    }

    private void moveInto(ReplicaDraft replica, FabricDomainId fabric) {
        for (VmId vm : replica.keepOnly(fabric, fleet)) {
            release(vm, replica.model());
        }
    }

    private void fill(ReplicaDraft replica, List<VmId> candidates, RepairStep step) {
        int missing = replica.model().vmsPerReplica() - replica.survivors().size();
        List<VmId> chosen = candidates.subList(0, missing);
        replica.fill(chosen, fleet);
        chosen.forEach(free::remove);
        steps.add(new PlanStep(step, replica.id(), replica.generation()));
    }

    private void drop(List<ReplicaDraft> replicas, ReplicaDraft replica) {
        replicas.remove(replica);
        replica.survivors().forEach(vm -> release(vm, replica.model()));
        steps.add(new PlanStep(RepairStep.DROP, replica.id(), replica.generation()));
    }

    private void release(VmId vm, ModelEntry model) {
        if (fleet.isUsable(vm, model.id())) {
            free.add(vm);
        }
    }

    private ReplicaId newId(ModelEntry model) {
        return new ReplicaId(model.id() + "-" + nextReplica++);
    }

    /** Free VMs of a fabric domain: those that hold the weights first, stragglers last. */
    private List<VmId> spares(ModelEntry model, FabricDomainId fabric, boolean warmOnly) {
        List<VmId> spares = new ArrayList<>();
        for (VmId vm : sparesOfAll(model)) {
            if (fabric.equals(fleet.fabricDomain(vm)) && (!warmOnly || fleet.isWarm(vm, model.id()))) {
                spares.add(vm);
            }
        }
        return spares;
    }

    private List<VmId> sparesOfAll(ModelEntry model) {
        List<VmId> spares = new ArrayList<>(free);
        spares.sort(Comparator.comparing(fleet::isStraggler)
                .thenComparing(vm -> !fleet.isWarm(vm, model.id()))
                .thenComparing(fleet::fabricDomain)
                .thenComparing(Comparator.naturalOrder()));
        return spares;
    }

    private Set<FabricDomainId> fabricDomainsOfFree() {
        TreeSet<FabricDomainId> fabrics = new TreeSet<>();
        free.forEach(vm -> fabrics.add(fleet.fabricDomain(vm)));
        return fabrics;
    }

    private Set<FabricDomainId> fabricDomains(ReplicaDraft replica) {
        Set<FabricDomainId> fabrics = fabricDomainsOfFree();
        for (VmId vm : replica.survivors()) {
            if (fleet.fabricDomain(vm) != null) {
                fabrics.add(fleet.fabricDomain(vm));
            }
        }
        return fabrics;
    }

    private static List<ReplicaDraft> mostSurvivorsFirst(List<ReplicaDraft> replicas) {
        List<ReplicaDraft> broken = fewestSurvivorsFirst(replicas);
        return broken.reversed();
    }

    private static List<ReplicaDraft> fewestSurvivorsFirst(List<ReplicaDraft> replicas) {
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
            PlannedReplica planned = draft.planned();
            replicas.add(planned);
            members.addAll(planned.vms());
        }
        replicas.sort(Comparator.comparing(PlannedReplica::id));
        List<VmId> spares = new ArrayList<>();
        List<VmId> resting = new ArrayList<>();
        for (Vm vm : fleet.vms()) {
            boolean wanted = models.stream().anyMatch(m -> m.id().equals(vm.upstream()));
            if (!wanted || members.contains(vm.id())) {
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
