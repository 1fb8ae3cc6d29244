package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.policy.ModelDemand;

/**
 * Simulates days on which VMs of replicas are lost faster than weights are loaded: three failure domains with a planner each, two
 * VMs lost every three seconds until 26 s, blank ones from 12 s, an eighth of the VMs without the store for 5 s, and new planners
 * at 5, 26 and 41 s.
 */
final class LargeModelTail {
    private static final SimFleet.Shape SHAPE = new SimFleet.Shape(2, 10, 4, 12);
    private static final ModelId LARGE = new ModelId("m0");
    private static final ModelId SMALL = new ModelId("m1");
    private static final int DOMAINS = 3;
    private static final int LARGE_AT_START = 6;
    private static final int SMALL_AT_START = 12;
    private static final long START_MILLIS = 19_000;
    private static final long STEP_MILLIS = 500;
    private static final long END_MILLIS = 52_000;

    private final List<SimFleet> domains = new ArrayList<>();
    private final UniformRandomProvider random;

    /**
     * What a run served.
     *
     * @param seed seed of the run
     * @param served mean share of the large replicas at the start that serve
     * @param possible the same of those that the live holders of its weights could form within their fabric domains
     * @param smallServed mean share of the small replicas
     * @param stranded mean number of live holders of the large weights that serve nobody
     */
    record Result(long seed, double served, double possible, double smallServed, double stranded) {}

    private LargeModelTail(long seed) {
        random = RandomSource.SPLIT_MIX_64.create(seed);
        for (int i = 0; i < DOMAINS; i++) {
            SimFleet domain = new SimFleet(DOMAINS * seed + i, SHAPE);
            domain.loadShare = 1.0 / DOMAINS;
            domain.beginStartup();
            domain.run(START_MILLIS);
            domain.endStartup();
            domains.add(domain);
        }
    }

    static Result run(long seed) {
        return new LargeModelTail(seed).serve(seed);
    }

    private Result serve(long seed) {
        double served = 0;
        double possible = 0;
        double smallServed = 0;
        double stranded = 0;
        for (long atMillis = 0; atMillis < END_MILLIS; atMillis += STEP_MILLIS) {
            disturb(atMillis);
            shareKnowledge();
            domains.forEach(domain -> domain.run(STEP_MILLIS));
            served += Math.min(1, serving(LARGE) / (double) LARGE_AT_START);
            smallServed += Math.min(1, serving(SMALL) / (double) SMALL_AT_START);
            possible += Math.min(1, formable() / (double) LARGE_AT_START);
            stranded += holders().stream().filter(vm -> vm.group.isEmpty()).count();
        }
        double steps = END_MILLIS / (double) STEP_MILLIS;
        return new Result(seed, served / steps, possible / steps, smallServed / steps, stranded / steps);
    }

    private void disturb(long atMillis) {
        if (atMillis >= 2_000 && atMillis <= 26_000 && atMillis % 3_000 == 2_000) {
            for (int i = 0; i < 2; i++) {
                SimFleet domain = domains.get(random.nextInt(DOMAINS));
                List<SimVm> members = domain.liveVms().stream()
                        .filter(vm -> vm.group.isPresent())
                        .toList();
                if (!members.isEmpty()) {
                    domain.kill(members.get(random.nextInt(members.size())));
                }
            }
        }
        if (atMillis >= 12_000 && atMillis % 3_000 == 0 && atMillis <= 36_000) {
            for (int i = 0; i < 2; i++) {
                domains.get(random.nextInt(DOMAINS)).add(random.nextInt(2));
            }
        }
        if (atMillis == 12_000) {
            domains.forEach(domain -> domain.liveVms().stream()
                    .filter(vm -> random.nextInt(8) == 0)
                    .forEach(vm -> domain.cutFromStore(vm, 5_000)));
        }
        if (atMillis == 5_000 || atMillis == 26_000 || atMillis == 41_000) {
            domains.forEach(SimFleet::handOverPlanning);
        }
    }

    /** Tells each planner what the others serve, and that a model with too few replicas refuses requests. */
    private void shareKnowledge() {
        Set<ModelId> refusing = new HashSet<>();
        if (serving(LARGE) < LARGE_AT_START - 1) {
            refusing.add(LARGE);
        }
        if (serving(SMALL) < SMALL_AT_START - 2) {
            refusing.add(SMALL);
        }
        for (SimFleet domain : domains) {
            Map<ModelId, Integer> elsewhere = new HashMap<>();
            for (ModelId model : List.of(LARGE, SMALL)) {
                elsewhere.put(model, (int) (serving(model) - domain.servingReplicas(model.value())));
            }
            domain.replicasElsewhere = elsewhere;
            domain.demand = new ModelDemand(Map.of(LARGE, 0.45, SMALL, 0.55), refusing);
        }
    }

    private long serving(ModelId model) {
        return domains.stream()
                .mapToLong(domain -> domain.servingReplicas(model.value()))
                .sum();
    }

    private List<SimVm> holders() {
        return domains.stream()
                .flatMap(domain -> domain.liveVms().stream())
                .filter(LargeModelTail::holdsLarge)
                .toList();
    }

    private static boolean holdsLarge(SimVm vm) {
        return vm.stagedModel.filter(LARGE::equals).isPresent()
                || vm.loadedModel.filter(LARGE::equals).isPresent();
    }

    private long formable() {
        long replicas = 0;
        for (SimFleet domain : domains) {
            Map<FabricDomainId, Integer> holders = new HashMap<>();
            for (SimVm vm : domain.liveVms()) {
                if (holdsLarge(vm)) {
                    holders.merge(vm.fabric, 1, Integer::sum);
                }
            }
            replicas += holders.values().stream()
                    .mapToInt(count -> count / SHAPE.largeReplica())
                    .sum();
        }
        return replicas;
    }
}
