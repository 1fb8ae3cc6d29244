package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.misc.InvariantViolation;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.stream.StreamFault;

/**
 * A randomised run with token streams over three replicas: replicas lose members, stop, pause and come back, connections
 * go silent for good, messages are late, lost, repeated and reordered, and streams are preempted.
 */
public final class StreamRun implements RandomisedRun {
    private static final String COMMAND =
            "java -cp tool/target/apricotdeal-tool-0.1.0-all.jar " + "org.apricotdeal.lab.soak.StreamsSoak --seeds ";
    private static final int REPLICAS = 3;
    private static final int STREAMS = 400;
    private static final long FAULTS_UNTIL_MILLIS = 25_000;
    private static final long HEALED_AT_MILLIS = 30_000;
    private static final long END_MILLIS = 60_000;
    private static final long MAX_DELAY_MICROS = 15_000;
    private static final int TRACE_LINES = 120;

    private final StreamFault fault;

    /** Creates a run without deliberate faults of the decisions. */
    public StreamRun() {
        this(StreamFault.NONE);
    }

    /**
     * Creates a run with a deliberate fault, to test its checks.
     *
     * @param fault the fault
     */
    public StreamRun(StreamFault fault) {
        this.fault = fault;
    }

    @Override
    public String run(long seed) {
        Course course = new Course(seed, fault);
        try {
            return course.run();
        } catch (InvariantViolation violation) {
            throw new RunFailure(seed, violation, course.traceOf(violation), COMMAND + seed);
        }
    }

    /** The course of one run. */
    private static final class Course {
        private final Scheduler scheduler;
        private final Network network;
        private final Trace trace;
        private final UniformRandomProvider random;
        private final StreamFault fault;
        private final List<StreamEngine> engines = new ArrayList<>();
        private final List<StreamSession> sessions = new ArrayList<>();
        private boolean faulty = true;
        private int begunAfterHealing;
        private int finishedAfterHealing;

        Course(long seed, StreamFault fault) {
            this.scheduler = new Scheduler(seed);
            this.network = new Network(scheduler, 200, MAX_DELAY_MICROS);
            this.trace = new Trace(scheduler);
            this.random = scheduler.random();
            this.fault = fault;
            for (int i = 0; i < REPLICAS; i++) {
                engines.add(new StreamEngine("replica-" + i, scheduler, network));
            }
        }

        List<String> traceOf(InvariantViolation violation) {
            for (StreamSession session : sessions) {
                if (violation.getMessage().contains(session.name() + " ")) {
                    return trace.about(session.name(), TRACE_LINES);
                }
            }
            return trace.about("", TRACE_LINES);
        }

        String run() {
            beginLater();
            injectLater();
            scheduler.runUntil(FAULTS_UNTIL_MILLIS);
            heal();
            scheduler.runUntil(END_MILLIS);
            for (StreamSession session : sessions) {
                Invariants.check(session.isEnded(), "stream-ends", () -> session.name() + " has not ended");
            }
            Invariants.check(
                    begunAfterHealing > 10 && finishedAfterHealing == begunAfterHealing,
                    "streams-progress",
                    () -> "after healing " + begunAfterHealing + " streams were begun and " + finishedAfterHealing
                            + " finished");
            return scheduler.executed() + " steps, " + report();
        }

        private String report() {
            long whole = sessions.stream().filter(StreamSession::isFinished).count();
            int attempts = sessions.stream().mapToInt(StreamSession::attempts).sum();
            int tokens = sessions.stream().mapToInt(StreamSession::received).sum();
            return sessions.size() + " streams, " + whole + " whole, " + attempts + " attempts, " + tokens + " tokens";
        }

        private void beginLater() {
            scheduler.after(random.nextLong(400), () -> {
                if (sessions.size() < STREAMS && scheduler.monotonicMillis() < END_MILLIS - 15_000) {
                    begin();
                    beginLater();
                }
            });
        }

        private void begin() {
            StreamSession session = new StreamSession(
                    "stream-" + sessions.size(), 20 + random.nextInt(200), scheduler, engines, trace, fault);
            sessions.add(session);
            session.start();
            if (scheduler.monotonicMillis() < HEALED_AT_MILLIS) {
                return;
            }
            begunAfterHealing++;
            scheduler.after(14_000, () -> finishedAfterHealing += session.isFinished() ? 1 : 0);
        }

        private void injectLater() {
            scheduler.after(50 + random.nextLong(300), () -> {
                if (faulty) {
                    inject();
                    injectLater();
                }
            });
        }

        private void inject() {
            StreamEngine engine = engines.get(random.nextInt(REPLICAS));
            long forMillis = random.nextLong(2_500);
            switch (random.nextInt(7)) {
                case 0 -> loseMember(engine, forMillis);
                case 1 -> {
                    trace.add("", engine.name() + " stops for " + forMillis + " ms");
                    network.stopped(engine.name(), true);
                    scheduler.after(forMillis, () -> network.stopped(engine.name(), false));
                }
                case 2 -> {
                    trace.add("", engine.name() + " pauses for " + forMillis + " ms");
                    network.paused(engine.name(), true);
                    scheduler.after(forMillis, () -> network.paused(engine.name(), false));
                }
                case 3, 4 -> {
                    trace.add("", "connections of " + engine.name() + " go silent");
                    engine.silenceConnections();
                }
                case 5 -> {
                    trace.add("", "network loses and repeats for " + forMillis + " ms");
                    network.faults(0.03, 0.2);
                    scheduler.after(forMillis, () -> network.faults(0, 0));
                }
                case 6 ->
                    sessions.stream()
                            .filter(session -> !session.isEnded() && random.nextInt(3) == 0)
                            .toList()
                            .forEach(session -> session.preempt(forMillis / 2));
                default -> throw new IllegalStateException();
            }
        }

        private void loseMember(StreamEngine engine, long forMillis) {
            trace.add("", engine.name() + " loses a member for " + forMillis + " ms");
            engine.whole(false);
            scheduler.after(random.nextLong(500), () -> sessions.forEach(session -> session.replicaLost(engine)));
            scheduler.after(forMillis, () -> engine.whole(true));
        }

        private void heal() {
            faulty = false;
            network.faults(0, 0);
            for (StreamEngine engine : engines) {
                engine.whole(true);
                network.stopped(engine.name(), false);
                network.paused(engine.name(), false);
            }
        }
    }
}
