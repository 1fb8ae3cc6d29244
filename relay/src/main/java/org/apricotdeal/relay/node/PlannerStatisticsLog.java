package org.apricotdeal.relay.node;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;

import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.policy.FabricModelCounts;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.ReplicaPlanner;
import org.apricotdeal.relay.policy.VmActivity;
import org.apricotdeal.relay.policy.VmCounts;
import org.apricotdeal.relay.policy.VmStatistics;

/** Logs the activity of the VMs of each planner and the demand for its models, at a limited rate. */
final class PlannerStatisticsLog {
    /** Minimum time between two lines about the VMs of a planner. */
    private static final long PERIOD_MILLIS = 1_000;

    /** Minimum time between two lines about the demand of a planner. */
    private static final long DEMAND_PERIOD_MILLIS = 2_000;

    private final DecisionLog log;
    private final Map<PlannerKey, LoggedCounts> lastCounts = new HashMap<>();
    private final Map<PlannerKey, Set<FabricModelCounts>> lastFabricCounts = new HashMap<>();
    private final Map<PlannerKey, Long> lastDemandMillis = new HashMap<>();

    /** The last logged counts and the time of the log line. */
    private record LoggedCounts(VmCounts counts, long atMillis) {}

    PlannerStatisticsLog(DecisionLog log) {
        this.log = log;
    }

    /** Logs the counts of VMs by activity, unless the last line of the planner is too recent or has the same counts. */
    void logVmCounts(long nowMillis, PlannerKey key, ReplicaPlanner planner) {
        LoggedCounts last = lastCounts.get(key);
        if (last != null && nowMillis - last.atMillis() < PERIOD_MILLIS) {
            return;
        }
        VmStatistics statistics = planner.statistics();
        VmCounts counts = statistics.vmCounts();
        if (last != null && last.counts().equals(counts)) {
            return;
        }
        lastCounts.put(key, new LoggedCounts(counts, nowMillis));
        var line = log.state("vms_counted").with("planner", key);
        for (VmActivity activity : VmActivity.values()) {
            line.with(activity.name().toLowerCase(Locale.ROOT), counts.count(activity));
        }
        line.with("spareModels", counts.spares())
                .with("stranded", counts.notServing())
                .write();
        logFabricCounts(key, statistics.fabricCounts());
    }

    private void logFabricCounts(PlannerKey key, List<FabricModelCounts> counts) {
        Set<FabricModelCounts> before = lastFabricCounts.getOrDefault(key, Set.of());
        lastFabricCounts.put(key, Set.copyOf(counts));
        for (FabricModelCounts count : counts) {
            if (!before.contains(count)) {
                log.state("fabric_counted")
                        .with("planner", key)
                        .with("fabricDomain", count.fabricDomain())
                        .with("model", count.model())
                        .with("serving", count.serving())
                        .with("forming", count.forming())
                        .with("idle", count.idle())
                        .with("loading", count.loading())
                        .with("elsewhere", count.elsewhere())
                        .write();
            }
        }
    }

    /** Logs the demand for each model, as measured by all known nodes, and the resulting shares of the VMs. */
    void logDemand(long nowMillis, PlannerKey key, Map<QueueId, QueueDemand> demand, Map<ModelId, Double> shares) {
        if (nowMillis - lastDemandMillis.getOrDefault(key, Long.MIN_VALUE / 2) < DEMAND_PERIOD_MILLIS) {
            return;
        }
        lastDemandMillis.put(key, nowMillis);
        demand.forEach((id, queueDemand) -> {
            if (id.upstream().equals(key.upstream())) {
                ModelId model = id.model().orElseThrow();
                log.state("model_demand")
                        .with("planner", key)
                        .with("model", model)
                        .with("sharePercent", Math.round(100 * shares.getOrDefault(model, 0.0)))
                        .with("askedPerSecond", rounded(queueDemand.newRequestsPerSecond()))
                        .with("wantedSlots", rounded(queueDemand.requiredSlots()))
                        .with("usableSlots", queueDemand.usableSlots())
                        .with("refusedPerSecond", byPriority(queueDemand.refusedPerSecond()))
                        .with("ageMillis", nowMillis - queueDemand.measuredAtMillis())
                        .write();
            }
        });
    }

    private static String byPriority(SortedMap<Integer, Double> perSecond) {
        StringBuilder text = new StringBuilder();
        perSecond.forEach((priority, rate) -> text.append(text.isEmpty() ? "" : ",")
                .append(priority)
                .append(':')
                .append(rounded(rate)));
        return text.isEmpty() ? "-" : text.toString();
    }

    private static String rounded(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    /** Removes the state of a planner that this node no longer runs. */
    void forget(PlannerKey key) {
        lastCounts.remove(key);
        lastFabricCounts.remove(key);
        lastDemandMillis.remove(key);
    }
}
