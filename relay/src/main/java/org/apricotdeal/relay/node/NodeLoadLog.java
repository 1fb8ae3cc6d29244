package org.apricotdeal.relay.node;

import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.relay.health.LocalHealth;

/**
 * Periodically logs the cost of a node's own work: processor time by thread since the last line, heartbeats and their bytes,
 * catalogues sent to peers, and calls to the store. The lines distinguish a node that is late because it is overloaded from
 * a node that was informed late.
 */
final class NodeLoadLog {
    /** Time between two lines; about as long as typical disturbances in the fleet last. */
    private static final long PERIOD_MILLIS = 5_000;

    private static final String[] COUNTERS = {
        "heartbeats.sent",
        "heartbeats.taken",
        "heartbeats.failed",
        "heartbeats.sent.bytes",
        "catalogues.sent.bytes",
        CountedStore.CALLS,
        "vm.reports.asked",
        "vm.reports.missed",
        "vm.reports.excused",
        "connections.opened",
        "attempts.failed.NOT_SENT",
        "handed.over"
    };

    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final LocalHealth health;
    private final Map<String, Long> lastCounts = new TreeMap<>();
    private Map<String, Long> lastCpuMillis = Map.of();
    private long lastMillis;

    NodeLoadLog(DecisionLog log, MetricRegistry metrics, LocalHealth health) {
        this.log = log;
        this.health = health;
        this.metrics = metrics;
        metrics.register("processor.millis", (Gauge<Long>) () -> ThreadTimes.millisByName().values().stream()
                .mapToLong(Long::longValue)
                .sum());
    }

    /** Writes a line if the period has elapsed. */
    void tick(long nowMillis) {
        if (lastMillis == 0) {
            lastMillis = nowMillis;
        }
        long elapsedMillis = nowMillis - lastMillis;
        if (elapsedMillis < PERIOD_MILLIS) {
            return;
        }
        lastMillis = nowMillis;
        Map<String, Long> cpuMillis = ThreadTimes.millisByName();
        Map<String, Long> spent = new TreeMap<>();
        cpuMillis.forEach((thread, millis) -> spent.put(thread, millis - lastCpuMillis.getOrDefault(thread, 0L)));
        lastCpuMillis = cpuMillis;
        DecisionLog.Line line = log.state("node_load").with("overMillis", elapsedMillis);
        for (String counter : COUNTERS) {
            line.with(counter, countSinceLastLine(counter));
        }
        line.with("delayMillis", health.takeLongestMillis())
                .with("storeCalls", storeCallsByKind())
                .with("processorMillis", spent)
                .write();
    }

    private long countSinceLastLine(String counter) {
        long count = metrics.counter(counter).getCount();
        Long before = lastCounts.put(counter, count);
        return count - (before == null ? 0 : before);
    }

    /** Returns the calls to the store by caller and kind, such as {@code vms.watch}, without those that did not occur. */
    private Map<String, Long> storeCallsByKind() {
        Map<String, Long> calls = new TreeMap<>();
        String prefix = CountedStore.CALLS + ".";
        for (String counter :
                metrics.getCounters(MetricFilter.startsWith(prefix)).keySet()) {
            long count = countSinceLastLine(counter);
            if (count > 0) {
                calls.put(counter.substring(prefix.length()), count);
            }
        }
        return calls;
    }
}
