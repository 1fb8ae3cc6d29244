package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.misc.InvariantViolation;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.SimService;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.policy.call.CallFault;
import org.apricotdeal.policy.claims.ClaimCounters;
import org.apricotdeal.policy.claims.ClaimFault;

/**
 * A randomised run with bookings: nodes, VMs of a plain service, the platform and callers that repeat their requests at
 * other nodes, under faults of every kind. After the faults all is healed, and bookings must be answered again.
 */
public final class BookingRun implements RandomisedRun {
    private static final String COMMAND =
            "java -cp tool/target/apricotdeal-tool-0.1.0-all.jar " + "org.apricotdeal.lab.soak.ClaimsSoak --seeds ";
    private static final int NODES = 4;
    private static final int VMS = 3;
    private static final long FAULTS_UNTIL_MILLIS = 40_000;
    private static final long HEALED_AT_MILLIS = 52_000;
    private static final long END_MILLIS = 60_000;
    private static final long SHORT_FAULT_MILLIS = 3_000;
    private static final long LONG_FAULT_MILLIS = 16_000;
    private static final int TRACE_LINES = 120;

    private final ClaimFault claimFault;
    private final CallFault callFault;

    /** Creates a run without deliberate faults of the decisions. */
    public BookingRun() {
        this(ClaimFault.NONE, CallFault.NONE);
    }

    /**
     * Creates a run with a deliberate fault, to test its checks.
     *
     * @param claimFault fault of the claims journal
     * @param callFault fault of the calls
     */
    public BookingRun(ClaimFault claimFault, CallFault callFault) {
        this.claimFault = claimFault;
        this.callFault = callFault;
    }

    @Override
    public String run(long seed) {
        BookingWorld world = new BookingWorld(seed, claimFault, callFault);
        try {
            return new Course(world).run();
        } catch (InvariantViolation violation) {
            throw new RunFailure(
                    seed, violation, world.trace().about(world.checks().lastSubject(), TRACE_LINES), COMMAND + seed);
        }
    }

    /** The course of one run. */
    private static final class Course {
        private final BookingWorld world;
        private final UniformRandomProvider random;
        private final List<SimService> services = new ArrayList<>();
        private final List<BookingNode> nodes = new ArrayList<>();
        private final List<BookingCaller> callers = new ArrayList<>();
        private boolean faulty = true;

        Course(BookingWorld world) {
            this.world = world;
            this.random = world.scheduler().random();
            for (int i = 0; i < VMS; i++) {
                services.add(new SimService("vm-" + i, world.scheduler(), world.network(), execution -> {
                    world.trace().add(execution.subject(), "runs for " + execution.requestId());
                    world.checks().executed(execution);
                }));
            }
            for (int i = 0; i < NODES; i++) {
                nodes.add(new BookingNode("node-" + i, world, services));
            }
            for (int i = 0; i < 5; i++) {
                callers.add(new BookingCaller("caller-" + i, world, nodes));
            }
        }

        String run() {
            world.deathShare(0.002);
            callers.forEach(BookingCaller::start);
            injectLater();
            world.scheduler().runUntil(FAULTS_UNTIL_MILLIS);
            heal();
            world.scheduler().runUntil(HEALED_AT_MILLIS);
            int answersBefore = world.checks().answers();
            int bookingsBefore = callers.stream().mapToInt(BookingCaller::begun).sum();
            world.scheduler().runUntil(END_MILLIS);
            checkProgress(
                    callers.stream().mapToInt(BookingCaller::begun).sum() - bookingsBefore,
                    world.checks().answers() - answersBefore);
            ClaimCounters counters = nodes.getFirst().counters();
            return world.scheduler().executed() + " steps, " + world.checks() + "; first node: " + counters;
        }

        private void checkProgress(int begun, int answered) {
            Invariants.check(
                    answered >= begun * 9 / 10 && begun > 20,
                    "bookings-progress",
                    () -> "after healing, " + begun + " bookings were begun and " + answered + " answered");
        }

        private void heal() {
            faulty = false;
            world.deathShare(0);
            world.network().faults(0, 0);
            world.network().healAll();
            world.store().away(false);
            world.store().slow(0);
            world.store().lostReplies(0);
            for (SimService service : services) {
                world.network().stopped(service.name(), false);
                world.network().paused(service.name(), false);
                service.dieAfter(0);
            }
            nodes.forEach(node -> world.network().paused(node.name(), false));
        }

        private void injectLater() {
            world.scheduler().after(100 + random.nextLong(600), () -> {
                if (faulty) {
                    inject();
                    injectLater();
                }
            });
        }

        private void inject() {
            BookingNode node = nodes.get(random.nextInt(NODES));
            SimService service = services.get(random.nextInt(VMS));
            long forMillis = random.nextLong(random.nextInt(4) == 0 ? LONG_FAULT_MILLIS : SHORT_FAULT_MILLIS);
            switch (random.nextInt(11)) {
                case 0 -> node.kill(forMillis);
                case 1 -> pause(node.name(), forMillis);
                case 2 -> stopService(service, forMillis);
                case 3 -> pause(service.name(), forMillis);
                case 4 -> cut(node.name(), SimStore.ACTOR, forMillis);
                case 5 -> cut(node.name(), service.name(), forMillis);
                case 6 -> undoLater("platform is away", forMillis, world.store()::away);
                case 7 -> {
                    long slowMillis = random.nextLong(1_500);
                    undoLater("platform is slow", forMillis, on -> world.store().slow(on ? slowMillis : 0));
                }
                case 8 ->
                    undoLater("platform loses replies", forMillis, on -> world.store()
                            .lostReplies(on ? 0.5 : 0));
                case 9 ->
                    undoLater("network loses and repeats", forMillis, on -> world.network()
                            .faults(on ? 0.1 : 0, on ? 0.2 : 0));
                case 10 -> undoLater("VM dies after executing", forMillis, on -> service.dieAfter(on ? 0.3 : 0));
                default -> throw new IllegalStateException();
            }
        }

        private void undoLater(String text, long forMillis, java.util.function.Consumer<Boolean> fault) {
            world.trace().add("", text + " for " + forMillis + " ms");
            fault.accept(true);
            world.scheduler().after(forMillis, () -> {
                world.trace().add("", "no more: " + text);
                fault.accept(false);
            });
        }

        private void pause(String actor, long forMillis) {
            undoLater(actor + " is paused", forMillis, on -> world.network().paused(actor, on));
        }

        private void stopService(SimService service, long forMillis) {
            undoLater(service.name() + " is stopped", forMillis, on -> world.network()
                    .stopped(service.name(), on));
        }

        private void cut(String one, String other, long forMillis) {
            undoLater(one + " is cut from " + other, forMillis, on -> {
                world.network().cut(one, other, on);
                world.network().cut(other, one, on);
            });
        }
    }
}
