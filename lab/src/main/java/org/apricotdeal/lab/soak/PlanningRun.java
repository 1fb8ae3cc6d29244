package org.apricotdeal.lab.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.InvariantViolation;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.SimEngine;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.policy.planning.ServableReplica;

/**
 * One randomised run of planning: the fleet forms its replicas, then faults come for a while, then all is mended and the
 * fleet has a bounded time until every replica that the VMs allow serves again on every node.
 */
public final class PlanningRun {
    /** Command that repeats a run; the seed follows. */
    public static final String COMMAND =
            "java -cp tool/target/apricotdeal-tool-0.1.0-all.jar org.apricotdeal.lab.soak.PlanningSoak --seeds ";

    private static final long FORM_MILLIS = 40_000;
    private static final long FAULT_MILLIS = 90_000;
    private static final long CONVERGE_MILLIS = 90_000;
    private static final long SAMPLE_MILLIS = 100;
    private static final long POLL_MILLIS = 500;

    private final PlanningWorld world;
    private final PlanningFaultSource faultSource;
    private boolean measuring;
    private long replicaDownMillis;
    private long replicaWantedMillis;
    private long strandedAcceleratorMillis;
    private long acceleratorMillis;

    /**
     * Prepares a run.
     *
     * @param seed seed of all that happens
     * @param faults deliberate faults of the code under test; none but to check the checks
     */
    public PlanningRun(long seed, PlanningMutations faults) {
        this.world = new PlanningWorld(seed, faults);
        this.faultSource = new PlanningFaultSource(world);
    }

    /**
     * Runs to the end.
     *
     * @return what was measured
     * @throws InvariantViolation where an invariant does not hold; its trace is then in {@link #traceLines()}
     */
    public PlanningFigures run() {
        world.scheduler().every(SAMPLE_MILLIS, this::sample);
        world.scheduler().runUntil(FORM_MILLIS);
        measuring = true;
        faultSource.start();
        world.scheduler().runUntil(FORM_MILLIS + FAULT_MILLIS);
        measuring = false;
        faultSource.stop();
        long convergedMillis = converge(FORM_MILLIS + FAULT_MILLIS);
        return new PlanningFigures(
                1,
                world.scheduler().executed(),
                faultSource.faults(),
                faultSource.vmLosses(),
                replicaDownMillis,
                replicaWantedMillis,
                strandedAcceleratorMillis,
                acceleratorMillis,
                convergedMillis,
                world.checks().servableChecks(),
                world.checks().orderChecks());
    }

    /**
     * Returns what happened last, of planning, faults and membership.
     *
     * @return the last lines of the trace
     */
    public List<String> traceLines() {
        return List.of(world.trace().toString().split("\n", -1));
    }

    private long converge(long fromMillis) {
        for (long waited = 0; waited <= CONVERGE_MILLIS; waited += POLL_MILLIS) {
            world.scheduler().runUntil(fromMillis + waited);
            if (isRepaired()) {
                return waited;
            }
        }
        Invariants.check(false, "repair-converges", this::describeMissing);
        return CONVERGE_MILLIS;
    }

    private boolean isRepaired() {
        for (PlanningNode node : world.nodes()) {
            for (ModelEntry model : world.shape().models()) {
                if (servable(node, model.id()) != attainable(model)) {
                    return false;
                }
            }
        }
        return true;
    }

    private String describeMissing() {
        StringBuilder text = new StringBuilder();
        for (PlanningNode node : world.nodes()) {
            for (ModelEntry model : world.shape().models()) {
                text.append(node.id()).append(" holds ").append(servable(node, model.id()));
                text.append(" of ").append(attainable(model)).append(" replicas of ");
                text.append(model.id()).append(" for servable; ");
            }
        }
        text.append(world.checks().newestPlan());
        for (VmId vm : world.trueList().keySet()) {
            text.append('\n').append(world.engine(vm).state());
        }
        return text.toString();
    }

    private static int servable(PlanningNode node, UpstreamId model) {
        int count = 0;
        for (ServableReplica replica : node.servable()) {
            count += replica.replica().model().equals(model) ? 1 : 0;
        }
        return count;
    }

    /** Replicas that the running VMs allow, at most those wanted. */
    private int attainable(ModelEntry model) {
        int usable = 0;
        for (Vm vm : world.trueList().values()) {
            boolean runs = vm.state() == VmState.LIVE && world.engine(vm.id()).isUp();
            usable += runs && vm.upstream().equals(model.id()) ? 1 : 0;
        }
        return Math.min(model.replicasPerFailureDomain(), usable / model.vmsPerReplica());
    }

    private void sample() {
        if (!measuring) {
            return;
        }
        List<SimEngine.Membership> whole = world.wholeReplicas();
        Map<UpstreamId, Integer> wholeByModel = new TreeMap<>();
        int members = 0;
        for (SimEngine.Membership replica : whole) {
            Vm first = world.trueList().get(replica.members().getFirst());
            if (first != null) {
                wholeByModel.merge(first.upstream(), 1, Integer::sum);
            }
            members += replica.members().size();
        }
        for (ModelEntry model : world.shape().models()) {
            int wanted = model.replicasPerFailureDomain();
            replicaWantedMillis += SAMPLE_MILLIS * wanted;
            replicaDownMillis += SAMPLE_MILLIS * Math.max(0, wanted - wholeByModel.getOrDefault(model.id(), 0));
        }
        int running = 0;
        for (VmId vm : world.trueList().keySet()) {
            running += world.engine(vm).isUp() ? 1 : 0;
        }
        acceleratorMillis += SAMPLE_MILLIS * running * PlanningShape.ACCELERATORS_PER_VM;
        strandedAcceleratorMillis += SAMPLE_MILLIS * (running - members) * PlanningShape.ACCELERATORS_PER_VM;
    }
}
