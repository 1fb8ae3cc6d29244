package org.apricotdeal.relay.node;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.MetricRegistry;

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
        "vm.reports.asked"
    };

    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Map<String, Long> lastCounts = new TreeMap<>();
    private Map<String, Long> lastCpuMillis = Map.of();
    private long lastMillis;

    NodeLoadLog(DecisionLog log, MetricRegistry metrics) {
        this.log = log;
        this.metrics = metrics;
        metrics.register("processor.millis", (Gauge<Long>) () ->
                cpuMillisByThread().values().stream().mapToLong(Long::longValue).sum());
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
        Map<String, Long> cpuMillis = cpuMillisByThread();
        Map<String, Long> spent = new TreeMap<>();
        cpuMillis.forEach((thread, millis) -> spent.put(thread, millis - lastCpuMillis.getOrDefault(thread, 0L)));
        lastCpuMillis = cpuMillis;
        DecisionLog.Line line = log.state("node_load").with("overMillis", elapsedMillis);
        for (String counter : COUNTERS) {
            line.with(counter, countSinceLastLine(counter));
        }
        line.with("storeCalls", storeCallsByKind())
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

    /** Sums processor time by thread name, ignoring the number at the end of the name. */
    private Map<String, Long> cpuMillisByThread() {
        Map<String, Long> millis = new TreeMap<>();
        if (!threads.isThreadCpuTimeSupported()) {
            return millis;
        }
        for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (thread == null) {
                continue;
            }
            long nanos = threads.getThreadCpuTime(thread.getThreadId());
            if (nanos > 0) {
                String name = thread.getThreadName().replaceAll("[0-9@-].*$", "");
                millis.merge(name, TimeUnit.NANOSECONDS.toMillis(nanos), Long::sum);
            }
        }
        return millis;
    }
}
