package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;

/** Draws faults one after another, several at a time, and mends each after a while. */
final class PlanningFaultSource {
    private static final int MAX_GAP_MILLIS = 3_000;
    private static final int MAX_VM_DOWN_MILLIS = 15_000;
    private static final int MAX_PAUSE_MILLIS = 9_000;
    private static final int MAX_CUT_MILLIS = 12_000;
    private static final int MAX_AWAY_MILLIS = 15_000;
    private static final int MAX_SLOW_MILLIS = 900;
    private static final int MIN_LEAVING_MILLIS = 8_000;

    private final PlanningWorld world;
    private final UniformRandomProvider random;
    private boolean stopped;
    private long vmLosses;
    private long faults;
    private int replacements;

    PlanningFaultSource(PlanningWorld world) {
        this.world = world;
        this.random = world.scheduler().random();
    }

    long vmLosses() {
        return vmLosses;
    }

    long faults() {
        return faults;
    }

    void start() {
        world.scheduler().after(random.nextInt(MAX_GAP_MILLIS), this::next);
    }

    /** Draws no more faults and mends all. */
    void stop() {
        stopped = true;
        world.network().healAll();
        world.network().faults(0, 0);
        world.platformAway(false);
        world.store().lostReplies(0);
        world.store().slow(0);
        world.nodes().forEach(this::mendNode);
        for (Vm vm : List.copyOf(world.trueList().values())) {
            world.network().paused(vm.id().value(), false);
            startVm(vm.id());
            if (vm.state() == VmState.LEAVING) {
                world.list(withState(vm, VmState.LIVE));
            }
        }
    }

    private void next() {
        if (stopped) {
            return;
        }
        faults++;
        switch (random.nextInt(14)) {
            case 0, 1 -> killVm(randomVm(), 500 + random.nextInt(MAX_VM_DOWN_MILLIS));
            case 2 -> killVm(randomVm(), 100);
            case 3 -> pause(randomVm().value(), 200 + random.nextInt(MAX_PAUSE_MILLIS));
            case 4 -> darkenFabricDomain();
            case 5 -> killNode();
            case 6, 7 -> pause(plannerOrRandom().actor(), 500 + random.nextInt(MAX_PAUSE_MILLIS * 2));
            case 8 -> cut(world.randomNode().actor(), world.randomNode().actor());
            case 9 -> cut(plannerOrRandom().actor(), SimStore.ACTOR);
            case 10 -> cutNodeFromVms();
            case 11 -> takePlatformAway();
            case 12 -> disturbPlatform();
            default -> leave(randomVm());
        }
        world.scheduler().after(random.nextInt(MAX_GAP_MILLIS), this::next);
    }

    private VmId randomVm() {
        List<VmId> vms = new ArrayList<>(world.trueList().keySet());
        return vms.get(random.nextInt(vms.size()));
    }

    private PlanningNode plannerOrRandom() {
        for (PlanningNode node : world.nodes()) {
            if (node.isPlanner() && random.nextBoolean()) {
                return node;
            }
        }
        return world.randomNode();
    }

    private void killVm(VmId vm, long downMillis) {
        if (!world.engine(vm).isUp()) {
            return;
        }
        vmLosses += world.wholeReplicas().stream().anyMatch(r -> r.members().contains(vm)) ? 1 : 0;
        world.trace().add("fault", vm + " is down for " + downMillis + " ms");
        world.network().stopped(vm.value(), true);
        world.engine(vm).kill();
        world.scheduler().after(downMillis, () -> startVm(vm));
    }

    private void startVm(VmId vm) {
        if (world.engine(vm).isUp() || !world.trueList().containsKey(vm)) {
            return;
        }
        world.trace().add("fault", vm + " starts again");
        world.engine(vm).start();
        world.network().stopped(vm.value(), false);
    }

    private void pause(String actor, long pauseMillis) {
        if (world.network().isPaused(actor) || world.network().isStopped(actor)) {
            return;
        }
        world.trace().add("fault", actor + " is paused for " + pauseMillis + " ms");
        world.network().paused(actor, true);
        world.scheduler().after(pauseMillis, () -> world.network().paused(actor, false));
    }

    private void darkenFabricDomain() {
        String fabric = "fabric-" + (1 + random.nextInt(3));
        long downMillis = 1_000L + random.nextInt(MAX_VM_DOWN_MILLIS);
        boolean kill = random.nextBoolean();
        world.trace().add("fault", fabric + " goes dark for " + downMillis + " ms");
        for (Vm vm : List.copyOf(world.trueList().values())) {
            if (!vm.fabricDomain().value().equals(fabric)) {
                continue;
            }
            if (kill) {
                killVm(vm.id(), downMillis);
            } else {
                pause(vm.id().value(), downMillis);
            }
        }
    }

    private void killNode() {
        PlanningNode node = plannerOrRandom();
        if (world.network().isStopped(node.actor())) {
            return;
        }
        world.trace().add("fault", node.actor() + " is killed");
        world.network().stopped(node.actor(), true);
        world.network().paused(node.actor(), false);
        world.scheduler().after(200 + random.nextInt(MAX_VM_DOWN_MILLIS), () -> mendNode(node));
    }

    private void mendNode(PlanningNode node) {
        world.network().paused(node.actor(), false);
        if (world.network().isStopped(node.actor())) {
            world.trace().add("fault", node.actor() + " starts again");
            world.network().stopped(node.actor(), false);
            node.start();
        }
    }

    private void cut(String one, String other) {
        boolean bothWays = random.nextBoolean();
        long cutMillis = 500L + random.nextInt(MAX_CUT_MILLIS);
        world.trace().add("fault", one + (bothWays ? " and " : " to ") + other + " cut for " + cutMillis + " ms");
        world.network().cut(one, other, true);
        if (bothWays) {
            world.network().cut(other, one, true);
        }
        world.scheduler().after(cutMillis, () -> {
            world.network().cut(one, other, false);
            world.network().cut(other, one, false);
        });
    }

    private void cutNodeFromVms() {
        String node = plannerOrRandom().actor();
        int count = 1 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            cut(node, randomVm().value());
        }
    }

    private void takePlatformAway() {
        long awayMillis = 500L + random.nextInt(MAX_AWAY_MILLIS);
        world.trace().add("fault", "the platform is away for " + awayMillis + " ms");
        world.platformAway(true);
        world.scheduler().after(awayMillis, () -> world.platformAway(false));
    }

    private void disturbPlatform() {
        double lost = random.nextDouble() * 0.5;
        int slowMillis = random.nextInt(MAX_SLOW_MILLIS);
        world.trace().add("fault", "the platform loses replies and is slow by " + slowMillis + " ms");
        world.store().lostReplies(lost);
        world.store().slow(slowMillis);
        world.network().faults(0.02, 0.05);
        world.scheduler().after(random.nextInt(MAX_AWAY_MILLIS), () -> {
            world.store().lostReplies(0);
            world.store().slow(0);
            world.network().faults(0, 0);
        });
    }

    private void leave(VmId id) {
        Vm vm = world.trueList().get(id);
        if (vm.state() == VmState.LEAVING) {
            return;
        }
        world.trace().add("fault", id + " is leaving");
        world.list(withState(vm, VmState.LEAVING));
        world.scheduler().after(MIN_LEAVING_MILLIS + random.nextInt(MAX_VM_DOWN_MILLIS), () -> takeAway(id));
    }

    private void takeAway(VmId id) {
        Vm vm = world.trueList().get(id);
        if (vm == null || vm.state() != VmState.LEAVING || stopped) {
            return;
        }
        world.trace().add("fault", id + " is taken away");
        world.unlist(id);
        world.network().stopped(id.value(), true);
        world.engine(id).kill();
        replacements++;
        VmId next = new VmId(id.value().replaceAll("\\.r.*", "") + ".r" + replacements);
        world.addVm(PlanningShape.vm(next, vm.fabricDomain().value(), vm.upstream()));
    }

    private static Vm withState(Vm vm, VmState state) {
        return new Vm(
                vm.id(), vm.failureDomain(), vm.fabricDomain(), vm.upstream(), vm.address(), vm.accelerators(), state);
    }
}
