package org.apricotdeal.lab.soak;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.claims.ClaimAnswer;
import org.apricotdeal.policy.claims.ClaimCounters;
import org.apricotdeal.policy.claims.ClaimEvent;
import org.apricotdeal.policy.claims.ClaimJournal;
import org.apricotdeal.policy.claims.ClaimSettings;

/**
 * Measures on virtual time, without faults, how many claims one write of the platform carries, how long a claim takes, and
 * how large the writes are, at several rates and numbers of nodes that write the same shards.
 */
public final class ClaimsExperiment {
    private static final int[] BOOKINGS_PER_SECOND = {5, 50, 220};
    private static final int[] NODES = {1, 4};
    private static final int[] SHARDS = {16, 64};
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long MEASURED_MILLIS = 10_000;
    private static final long RETENTION_MILLIS = 60_000;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long SERVICE_MILLIS = 40;

    private final Scheduler scheduler = new Scheduler(1);
    private final Network network = new Network(scheduler, 500, 2_000);
    private final SimStore store = new SimStore(scheduler, network);
    private final Map<String, Long> receivedAtMillis = new HashMap<>();
    private final Histogram claimMillis = new Histogram(60_000, 3);
    private long granted;
    private long refused;
    private long lastRequest;

    private ClaimsExperiment() {}

    /**
     * Prints one line for each combination.
     *
     * @param arguments none
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.println("retention " + RETENTION_MILLIS + " ms; answers of 200 bytes; platform reply after 1 to 4 ms");
        out.println("shards nodes bookings/s | calls/s writes/s conflicts/s bookings/write | ms until granted: 50 99"
                + " | KB/write, bytes/claim | refused");
        for (int shards : SHARDS) {
            for (int nodes : NODES) {
                for (int rate : BOOKINGS_PER_SECOND) {
                    out.println(new ClaimsExperiment().measure(shards, nodes, rate));
                }
            }
        }
    }

    private String measure(int shards, int nodes, int perSecond) {
        ClaimSettings d = ClaimSettings.DEFAULT;
        ClaimSettings settings = new ClaimSettings(
                shards,
                d.slotMillis(),
                d.maxWaitMillis(),
                d.minSwapIntervalMillis(),
                d.outcomeBatchMillis(),
                d.retryMillis(),
                d.maxAnswerBytes(),
                d.maxShardBytes());
        List<ClaimJournal> journals = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            journals.add(new ClaimJournal(settings, "node-" + i, RandomSource.XO_RO_SHI_RO_128_PP.create(i)));
        }
        for (int i = 0; i < nodes; i++) {
            int node = i;
            scheduler.every(20, () -> tell(journals, node, new ClaimEvent.Tick()));
        }
        arrive(journals, perSecond);
        scheduler.runUntil(WARM_UP_MILLIS);
        claimMillis.reset();
        refused = 0;
        long grantedBefore = granted;
        long callsBefore = store.calls();
        ClaimCounters before = sum(journals);
        scheduler.runUntil(WARM_UP_MILLIS + MEASURED_MILLIS);
        ClaimCounters after = sum(journals);
        double seconds = MEASURED_MILLIS / 1e3;
        long writes = after.writes() - before.writes();
        long writtenBytes = after.writtenBytes() - before.writtenBytes();
        long sent = writes + after.conflicts() - before.conflicts();
        return String.format(
                Locale.ROOT,
                "%6d %5d %10d | %7.1f %8.1f %11.1f %14.2f | %8d %5d | %8.1f %6.0f | %d",
                shards,
                nodes,
                perSecond,
                (store.calls() - callsBefore) / seconds,
                writes / seconds,
                (after.conflicts() - before.conflicts()) / seconds,
                (granted - grantedBefore) / (double) writes,
                claimMillis.getValueAtPercentile(50),
                claimMillis.getValueAtPercentile(99),
                writtenBytes / 1024.0 / sent,
                writtenBytes / (double) sent / ((grantedBefore + granted) / 2.0 / shards),
                refused);
    }

    private static ClaimCounters sum(List<ClaimJournal> journals) {
        long[] sums = new long[8];
        for (ClaimJournal journal : journals) {
            ClaimCounters c = journal.counters();
            sums[0] += c.reads();
            sums[1] += c.writes();
            sums[2] += c.conflicts();
            sums[3] += c.unconfirmed();
            sums[4] += c.granted();
            sums[5] += c.refused();
            sums[6] += c.replayed();
            sums[7] += c.writtenBytes();
        }
        return new ClaimCounters(sums[0], sums[1], sums[2], sums[3], sums[4], sums[5], sums[6], sums[7]);
    }

    private void arrive(List<ClaimJournal> journals, int perSecond) {
        double gapMicros = -Math.log(1 - scheduler.random().nextDouble()) * 1e6 / perSecond;
        scheduler.afterMicros((long) gapMicros, () -> {
            int node = scheduler.random().nextInt(journals.size());
            String id = "r" + ++lastRequest;
            receivedAtMillis.put(id, scheduler.monotonicMillis());
            tell(
                    journals,
                    node,
                    new ClaimEvent.Request(
                            new RequestId(id),
                            new UpstreamId("order-desk"),
                            new CallerId("guild"),
                            "key-" + lastRequest,
                            "0123456789abcdef",
                            RETENTION_MILLIS,
                            TIMEOUT_MILLIS,
                            scheduler.monotonicMillis()));
            arrive(journals, perSecond);
        });
    }

    private void tell(List<ClaimJournal> journals, int node, ClaimEvent event) {
        Deque<ClaimAction> actions = new ArrayDeque<>(journals.get(node).step(scheduler.monotonicMillis(), event));
        for (ClaimAction action : actions) {
            switch (action) {
                case ClaimAction.Store(var call) ->
                    store.call("node-" + node, call, reply -> tell(journals, node, new ClaimEvent.Reply(reply)));
                case ClaimAction.Granted grant -> {
                    granted++;
                    String id = grant.requestId().value();
                    claimMillis.recordValue(scheduler.monotonicMillis() - receivedAtMillis.remove(id));
                    ClaimAnswer answer = new ClaimAnswer(200, "application/json", new byte[200]);
                    scheduler.after(
                            SERVICE_MILLIS,
                            () -> tell(journals, node, new ClaimEvent.Completed(grant.requestId(), answer)));
                }
                case ClaimAction.Refused(var id, var reason, long retryAfterMillis) -> {
                    refused++;
                    receivedAtMillis.remove(id.value());
                }
                case ClaimAction.Replay replay -> throw new IllegalStateException("no key is repeated: " + replay);
            }
        }
    }
}
