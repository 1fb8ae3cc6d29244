package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.relay.policy.FleetNode;

/**
 * Gives and takes back the operator's words, returns VMs cold, restores the store from older copies, and lets the nodes fail
 * and disagree about the fleet.
 *
 * <p>The views of the fleet change in episodes: the nodes hold at most two disjoint ones at a time, and all agree for more
 * than a second between two episodes. Three disjoint views within a second are known to exceed the bound of a cold VM
 * (docs/design/cold-vms.md).
 */
final class TargetsFaultSource {
    private static final long AGREE_MILLIS = 1_300;
    private static final long VIEW_SPREAD_MILLIS = 500;
    private static final long MAX_AWAY_MILLIS = 800;
    private static final long MIN_COPY_AGE_MILLIS = 2_000;
    private static final long MAX_COPY_AGE_MILLIS = 14_000;
    private static final long WRITE_AGAIN_MILLIS = 1_000;
    private static final long COLD_RETURN_DOWN_MILLIS = 1_500;

    private final TargetsWorld world;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final List<TargetsNode> silenced = new ArrayList<>();
    private boolean active = true;
    private boolean viewsDiffer;
    private long agreedSinceMillis = Long.MAX_VALUE;

    TargetsFaultSource(TargetsWorld world) {
        this.world = world;
        this.scheduler = world.scheduler();
        this.random = scheduler.random();
    }

    void start() {
        repeat(2_000, 9_000, this::giveOrTakeBack);
        repeat(1_000, 12_000, this::silenceStore);
        repeat(5_000, 15_000, () -> world.store().compact());
        repeat(500, 4_000, this::freeze);
        repeat(500, 3_000, this::restart);
        repeat(3_000, 8_000, this::cutOff);
        repeat(3_000, 7_000, this::returnDomainCold);
        repeat(300, 1_500, this::makeColdAgain);
        repeat(3_000, 15_000, this::restoreStore);
        scheduler.every(100, this::watchAgreement);
    }

    /** Ends the faults and joins everything again; the words stay. */
    void heal() {
        active = false;
        silenced.forEach(node -> world.setStoreSilent(node, false));
        world.nodes().forEach(node -> {
            world.setCutOff(node, false);
            world.setView(node, world.fleet());
            if (!node.isRunning()) {
                restart(node, 0);
            }
        });
    }

    private void repeat(long minMillis, long maxMillis, Runnable body) {
        scheduler.after(minMillis + random.nextLong(maxMillis - minMillis), () -> {
            if (active) {
                body.run();
                repeat(minMillis, maxMillis, body);
            }
        });
    }

    private <T> T any(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private void say(String what) {
        world.trace().add("", what);
    }

    /** One domain, two or all are evacuated, or words are taken back. */
    private void giveOrTakeBack() {
        switch (random.nextInt(6)) {
            case 0, 1 -> word(any(world.domains()), true);
            case 2 -> {
                word(any(world.domains()), true);
                word(any(world.domains()), true);
            }
            case 3 -> word(any(world.domains()), false);
            case 4 -> world.domains().forEach(domain -> word(domain, true));
            default -> world.domains().forEach(domain -> word(domain, false));
        }
        if (random.nextBoolean()) {
            FailureDomainId domain = any(world.domains());
            scheduler.after(random.nextLong(400), () -> word(domain, false));
            scheduler.after(400 + random.nextLong(400), () -> word(domain, true));
        }
    }

    private void word(FailureDomainId domain, boolean evacuated) {
        say("the operator " + (evacuated ? "evacuates " : "takes back ") + domain);
        world.store().write(domain, evacuated, scheduler.monotonicMillis());
    }

    /** Silences the store to none, some or all nodes. */
    private void silenceStore() {
        silenced.forEach(node -> world.setStoreSilent(node, false));
        silenced.clear();
        double share = random.nextInt(5) / 4.0;
        for (TargetsNode node : world.nodes()) {
            if (random.nextDouble() < share) {
                world.setStoreSilent(node, true);
                silenced.add(node);
            }
        }
        say("the store is silent to " + silenced.size() + " nodes");
    }

    /** Freezes one node, or most at the same time. */
    private void freeze() {
        long millis = 100 + random.nextLong(5_000);
        if (random.nextInt(4) > 0) {
            freeze(any(world.nodes()), millis);
            return;
        }
        for (TargetsNode node : world.nodes()) {
            if (random.nextInt(4) > 0) {
                freeze(node, millis);
            }
        }
    }

    /** The store goes away for a moment, or not visibly, and returns from an older copy; at times twice in a row. */
    private void restoreStore() {
        world.setStoreAway(random.nextBoolean());
        scheduler.after(random.nextLong(MAX_AWAY_MILLIS), () -> {
            returnOlder();
            world.setStoreAway(false);
        });
        if (random.nextInt(3) == 0) {
            scheduler.after(MAX_AWAY_MILLIS + random.nextLong(MAX_AWAY_MILLIS), this::returnOlder);
        }
    }

    private void returnOlder() {
        if (!active) {
            return;
        }
        long ageMillis = MIN_COPY_AGE_MILLIS + random.nextLong(MAX_COPY_AGE_MILLIS - MIN_COPY_AGE_MILLIS);
        say("the store returns from a copy " + ageMillis + " ms old");
        world.restoreStore(ageMillis);
        scheduler.after(100 + random.nextLong(WRITE_AGAIN_MILLIS), () -> {
            say("what the store has lost is written again");
            world.writeAgain();
        });
    }

    private void freeze(TargetsNode node, long millis) {
        if (!node.isRunning()) {
            return;
        }
        say(node.self.name() + " freezes");
        node.freeze();
        scheduler.after(millis, () -> {
            say(node.self.name() + " goes on");
            node.resume();
        });
    }

    /** Restarts one node, or several within the second. */
    private void restart() {
        int count = random.nextBoolean() ? 1 : 5;
        for (int i = 0; i < count; i++) {
            restart(any(world.nodes()), random.nextLong(600));
        }
    }

    private void restart(TargetsNode node, long downMillis) {
        say(node.self.name() + " restarts");
        node.kill();
        scheduler.after(downMillis, node::start);
    }

    private void cutOff() {
        TargetsNode node = any(world.nodes());
        say(node.self.name() + " is cut off");
        world.setCutOff(node, true);
        scheduler.after(500 + random.nextLong(6_000), () -> {
            say(node.self.name() + " is joined");
            world.setCutOff(node, false);
        });
    }

    private void returnDomainCold() {
        FailureDomainId domain = any(world.domains());
        say(domain + " is lost");
        long downMillis = 300 + random.nextLong(COLD_RETURN_DOWN_MILLIS);
        for (TargetsVm vm : world.vms()) {
            if (vm.failureDomain.equals(domain) && vm.up) {
                vm.up = false;
                world.writeEntry(vm);
                scheduler.after(downMillis + random.nextLong(200), () -> {
                    say(vm.id + " returns cold");
                    vm.up = true;
                    vm.startedMillis = scheduler.monotonicMillis();
                    world.makeCold(vm);
                });
            }
        }
    }

    private void makeColdAgain() {
        TargetsVm vm = any(world.vms());
        if (vm.up && !vm.isCold(scheduler.monotonicMillis())) {
            say(vm.id + " is cold again");
            world.makeCold(vm);
        }
    }

    // Views.

    private void watchAgreement() {
        long nowMillis = scheduler.monotonicMillis();
        if (!active || viewsDiffer) {
            return;
        }
        if (!world.allAgree()) {
            agreedSinceMillis = Long.MAX_VALUE;
            return;
        }
        agreedSinceMillis = Math.min(agreedSinceMillis, nowMillis);
        if (nowMillis - agreedSinceMillis >= AGREE_MILLIS) {
            agreedSinceMillis = Long.MAX_VALUE;
            disagree();
        }
    }

    /** Splits the views in two, or lets the others take a node for gone that sends on. */
    private void disagree() {
        viewsDiffer = true;
        world.checks().disagreement();
        List<FleetNode> one = new ArrayList<>();
        List<FleetNode> other = new ArrayList<>();
        boolean halves = random.nextBoolean();
        FleetNode gone = any(world.fleet());
        for (FleetNode node : world.fleet()) {
            boolean first = halves ? random.nextBoolean() : node.equals(gone);
            (first ? one : other).add(node);
        }
        say("views differ: " + one + " and " + other);
        for (TargetsNode node : world.nodes()) {
            List<FleetNode> view = one.contains(node.self) ? one : other;
            scheduler.after(random.nextLong(VIEW_SPREAD_MILLIS), () -> world.setView(node, view));
        }
        scheduler.after(1_500 + random.nextLong(4_000), () -> {
            say("views agree again");
            for (TargetsNode node : world.nodes()) {
                scheduler.after(random.nextLong(VIEW_SPREAD_MILLIS), () -> world.setView(node, world.fleet()));
            }
            scheduler.after(VIEW_SPREAD_MILLIS, () -> viewsDiffer = false);
        });
    }
}
