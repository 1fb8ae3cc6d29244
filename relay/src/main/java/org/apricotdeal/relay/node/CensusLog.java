package org.apricotdeal.relay.node;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

import org.apricotdeal.relay.policy.VmCensus;
import org.apricotdeal.relay.policy.VmOccupation;

/** Logs what the VMs of each planner do, when it changes, in a bounded number of lines. */
final class CensusLog {
    /** Least time between two lines on a planner. */
    private static final long PERIOD_MILLIS = 1_000;

    private final DecisionLog log;
    private final Map<PlannerKey, Noted> noted = new HashMap<>();

    /** Counts that were logged, and when. */
    private record Noted(VmCensus census, long atMillis) {}

    CensusLog(DecisionLog log) {
        this.log = log;
    }

    /** Counts and logs, unless the last line of the planner is too young or says the same. */
    void note(long nowMillis, PlannerKey key, Supplier<VmCensus> count) {
        Noted last = noted.get(key);
        if (last != null && nowMillis - last.atMillis() < PERIOD_MILLIS) {
            return;
        }
        VmCensus census = count.get();
        if (last != null && last.census().equals(census)) {
            return;
        }
        noted.put(key, new Noted(census, nowMillis));
        var line = log.state("vms_counted").with("planner", key);
        for (VmOccupation occupation : VmOccupation.values()) {
            line.with(occupation.name().toLowerCase(Locale.ROOT), census.count(occupation));
        }
        line.with("spareModels", census.spares())
                .with("stranded", census.stranded())
                .write();
    }

    /** Forgets a planner that this node has yielded. */
    void forget(PlannerKey key) {
        noted.remove(key);
    }
}
