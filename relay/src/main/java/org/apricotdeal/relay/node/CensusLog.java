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

/** Logs what the VMs of each planner do and what is asked of its models, in a bounded number of lines. */
final class CensusLog {
    /** Least time between two lines on a planner's VMs. */
    private static final long PERIOD_MILLIS = 1_000;

    /** Time between two lines on the demand. */
    private static final long DEMAND_PERIOD_MILLIS = 2_000;

    private final DecisionLog log;
    private final Map<PlannerKey, Noted> noted = new HashMap<>();
    private final Map<PlannerKey, Set<FabricModelCounts>> notedFabrics = new HashMap<>();
    private final Map<PlannerKey, Long> notedDemandMillis = new HashMap<>();

    /** Counts that were logged, and when. */
    private record Noted(VmCounts census, long atMillis) {}

    CensusLog(DecisionLog log) {
        this.log = log;
    }

    /** Counts and logs, unless the last line of the planner is too young or says the same. */
    void note(long nowMillis, PlannerKey key, ReplicaPlanner planner) {
        Noted last = noted.get(key);
        if (last != null && nowMillis - last.atMillis() < PERIOD_MILLIS) {
            return;
        }
        VmStatistics taker = planner.statistics();
        VmCounts census = taker.vmCounts();
        if (last != null && last.census().equals(census)) {
            return;
        }
        noted.put(key, new Noted(census, nowMillis));
        var line = log.state("vms_counted").with("planner", key);
        for (VmActivity occupation : VmActivity.values()) {
            line.with(occupation.name().toLowerCase(Locale.ROOT), census.count(occupation));
        }
        line.with("spareModels", census.spares())
                .with("stranded", census.notServing())
                .write();
        noteFabrics(key, taker.fabricCounts());
    }

    private void noteFabrics(PlannerKey key, List<FabricModelCounts> counts) {
        Set<FabricModelCounts> before = notedFabrics.getOrDefault(key, Set.of());
        notedFabrics.put(key, Set.copyOf(counts));
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

    /** Logs what is asked of the models, as the planner's node counts it, and the shares of the VMs that follow from it. */
    void noteDemand(long nowMillis, PlannerKey key, Map<QueueId, QueueDemand> demand, Map<ModelId, Double> shares) {
        if (nowMillis - notedDemandMillis.getOrDefault(key, Long.MIN_VALUE / 2) < DEMAND_PERIOD_MILLIS) {
            return;
        }
        notedDemandMillis.put(key, nowMillis);
        demand.forEach((id, asked) -> {
            if (id.upstream().equals(key.upstream())) {
                ModelId model = id.model().orElseThrow();
                log.state("model_demand")
                        .with("planner", key)
                        .with("model", model)
                        .with("sharePercent", Math.round(100 * shares.getOrDefault(model, 0.0)))
                        .with("askedPerSecond", rounded(asked.newRequestsPerSecond()))
                        .with("wantedSlots", rounded(asked.requiredSlots()))
                        .with("usableSlots", asked.usableSlots())
                        .with("refusedPerSecond", byPriority(asked.refusedPerSecond()))
                        .with("ageMillis", nowMillis - asked.measuredAtMillis())
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

    /** Forgets a planner that this node has yielded. */
    void forget(PlannerKey key) {
        noted.remove(key);
        notedFabrics.remove(key);
        notedDemandMillis.remove(key);
    }
}
