package org.apricotdeal.lab.measure;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.policy.admission.AdmissionOptions;
import org.apricotdeal.policy.admission.Arrival;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.apricotdeal.policy.limits.ShareLedger;
import org.apricotdeal.policy.routing.AffinityRouter;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetHealth;
import org.apricotdeal.policy.routing.TargetId;

/**
 * Measures processor time and allocation of the dispatcher for each request: its arrival, its dispatch, one report of
 * progress and its end, with all slots taken and a backlog in every class; then of ticks and of further reports of
 * progress by themselves. Prints a table over the numbers of targets and callers. Times are medians over rounds.
 */
public final class DecisionBench {
    private static final int[] TARGETS = {20, 60, 110, 330};
    private static final int[] CALLERS = {10, 100, 1_000};
    private static final int STREAMS = 4;
    private static final int WARM_UP_REQUESTS = 60_000;
    private static final int ROUND_REQUESTS = 20_000;
    private static final int ROUNDS = 9;
    private static final UpstreamId MODEL = new UpstreamId("model");
    private static final List<ClassId> CLASSES =
            List.of(new ClassId("urgent"), new ClassId("booking"), new ClassId("overnight"));

    private final Dispatcher dispatcher;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    private final List<CallerId> callers = new ArrayList<>();
    private final Deque<RequestId> running = new ArrayDeque<>();
    private long sequence;
    private long nowMicros;

    private DecisionBench(int targetCount, int callerCount) {
        NodeId self = new NodeId("node");
        dispatcher =
                new Dispatcher(new AffinityRouter(random), new ShareLedger(self, 1), random, AdmissionOptions.DEFAULT);
        for (int i = 0; i < callerCount; i++) {
            callers.add(new CallerId("caller-" + i));
        }
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < targetCount; i++) {
            targets.add(new Target(
                    new TargetId("target-" + i), MODEL, new FailureDomainId("domain"), STREAMS, TargetHealth.HEALTHY));
        }
        step(new DispatcherEvent.NodesChanged(List.of(self)));
        step(new DispatcherEvent.CatalogueChanged(catalogue()));
        step(new DispatcherEvent.CapacityChanged(targets));
        for (int i = 0; i < targetCount * STREAMS * 2; i++) {
            arrive();
        }
    }

    /**
     * Runs the measurement and prints its table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        out.println(
                "| targets | callers | µs for each request | bytes for each request | µs for each tick | ns for each progress |");
        out.println("| ---: | ---: | ---: | ---: | ---: | ---: |");
        for (int targets : TARGETS) {
            for (int callers : CALLERS) {
                out.println(new DecisionBench(targets, callers).measure(targets, callers));
            }
        }
    }

    private String measure(int targets, int callerCount) {
        run(WARM_UP_REQUESTS);
        double[] micros = new double[ROUNDS];
        double[] bytes = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            long allocatedBefore = allocatedBytes();
            long startNanos = System.nanoTime();
            run(ROUND_REQUESTS);
            micros[round] = (System.nanoTime() - startNanos) / 1_000.0 / ROUND_REQUESTS;
            bytes[round] = (double) (allocatedBytes() - allocatedBefore) / ROUND_REQUESTS;
        }
        double[] tickMicros = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            tickMicros[round] = measureTicks();
        }
        return String.format(
                Locale.ROOT,
                "| %d | %d | %.2f | %.0f | %.1f | %.0f |",
                targets,
                callerCount,
                median(micros),
                median(bytes),
                median(tickMicros),
                measureProgress());
    }

    private double measureTicks() {
        int ticks = 200;
        long startNanos = System.nanoTime();
        for (int i = 0; i < ticks; i++) {
            nowMicros += 20;
            step(new DispatcherEvent.Tick());
        }
        return (System.nanoTime() - startNanos) / 1_000.0 / ticks;
    }

    private double measureProgress() {
        RequestId request = running.getFirst();
        double[] nanos = new double[ROUNDS];
        int tokens = 1;
        for (int round = 0; round < ROUNDS; round++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < ROUND_REQUESTS; i++) {
                nowMicros += 100;
                step(new DispatcherEvent.Progress(request, tokens++));
            }
            nanos[round] = (double) (System.nanoTime() - startNanos) / ROUND_REQUESTS;
        }
        return median(nanos);
    }

    private void run(int requests) {
        for (int i = 0; i < requests; i++) {
            nowMicros += 100;
            arrive();
            RequestId ended = running.pollFirst();
            if (ended != null) {
                step(new DispatcherEvent.Progress(ended, 50));
                step(new DispatcherEvent.Finished(ended, FinishOutcome.COMPLETED));
            }
        }
    }

    private void arrive() {
        long number = sequence++;
        Arrival arrival = Arrival.builder(new RequestId("r" + number), callers.get(random.nextInt(callers.size())))
                .classAndUpstream(CLASSES.get((int) (number % CLASSES.size())), MODEL)
                .prompt(random.nextInt(200) + 1L, 500)
                .estimatedTokens(100)
                .resumable(true)
                .build();
        step(new DispatcherEvent.Arrived(arrival));
    }

    private void step(DispatcherEvent event) {
        for (DispatcherAction action : dispatcher.step(nowMicros / 1_000, event)) {
            switch (action) {
                case DispatcherAction.Dispatch dispatch -> running.addLast(dispatch.request());
                case DispatcherAction.Preempt preempt -> running.remove(preempt.request());
                default -> {}
            }
        }
    }

    private Catalogue catalogue() {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < CLASSES.size(); i++) {
            entries.add(new ClassEntry(CLASSES.get(i), "bench", i, 0.25, 600_000, 600_000, i == 2, 1_000_000));
        }
        entries.add(new ModelEntry(MODEL, "bench", 4, 5, 16, 60_000, OrderCheck.HONOURS_FENCING, 100, "", 1));
        for (CallerId caller : callers) {
            entries.add(
                    new CallerEntry(caller, "bench", "0".repeat(64), 1, CLASSES, List.of(MODEL), 1e9, 1e9, 1_000_000));
        }
        return Catalogue.of(1, "bench", entries);
    }

    private static long allocatedBytes() {
        return ManagementFactory.getPlatformMXBean(com.sun.management.ThreadMXBean.class)
                .getCurrentThreadAllocatedBytes();
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
