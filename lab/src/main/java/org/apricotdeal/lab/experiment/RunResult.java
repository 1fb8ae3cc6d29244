package org.apricotdeal.lab.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.UpstreamId;

/** Measures of one run, over the requests asked within the measured time. */
final class RunResult {
    private final ExperimentPlan plan;
    private final Variant variant;
    private final long seed;
    private final SimCounters counters;
    private final List<CallerRequest> measured = new ArrayList<>();
    private final List<CallerRequest> all;
    private final Map<UpstreamId, Integer> slots;

    /** Requests of one class, counted. */
    record ClassCounts(long asked, long inTime, long answered, long refused, long failed) {
        double inTimeShare() {
            return asked == 0 ? 1 : (double) inTime / asked;
        }
    }

    RunResult(
            ExperimentPlan plan,
            Variant variant,
            long seed,
            SimCounters counters,
            List<CallerRequest> all,
            Map<UpstreamId, Integer> slots) {
        this.plan = plan;
        this.variant = variant;
        this.seed = seed;
        this.counters = counters;
        this.all = all;
        this.slots = slots;
        for (CallerRequest request : all) {
            if (request.firstAskedMicros >= counters.fromMicros && request.firstAskedMicros < counters.toMicros) {
                measured.add(request);
            }
        }
    }

    Variant variant() {
        return variant;
    }

    long seed() {
        return seed;
    }

    /** Returns the counts of each class, the most urgent first. */
    Map<ClassEntry, ClassCounts> byClass() {
        Map<ClassEntry, ClassCounts> counts = new LinkedHashMap<>();
        List<ClassEntry> classes = new ArrayList<>(plan.catalogue().all(ClassEntry.class));
        classes.sort(java.util.Comparator.comparingInt(ClassEntry::priority));
        for (ClassEntry entry : classes) {
            counts.put(
                    entry,
                    count(measured.stream()
                            .filter(r -> r.load.classId().equals(entry.id()))
                            .toList()));
        }
        return counts;
    }

    private ClassCounts count(List<CallerRequest> requests) {
        long inTime = 0;
        long answered = 0;
        long refused = 0;
        long failed = 0;
        for (CallerRequest request : requests) {
            inTime += request.isInTime(targetMillis(request)) ? 1 : 0;
            answered += request.finishedMicros >= 0 ? 1 : 0;
            refused += request.refused ? 1 : 0;
            failed += request.failed ? 1 : 0;
        }
        return new ClassCounts(requests.size(), inTime, answered, refused, failed);
    }

    private long targetMillis(CallerRequest request) {
        return plan.catalogue()
                .find("class " + request.load.classId(), ClassEntry.class)
                .orElseThrow()
                .firstTokenTargetMillis();
    }

    /**
     * Returns the smallest part, over classes and upstreams, that a class got of what it could claim: the smaller of its
     * offered work and its floor.
     */
    double smallestFloorKept() {
        double smallest = 1;
        for (LoadSpec load : plan.loads()) {
            Entry found = plan.catalogue().entries().get("class " + load.classId());
            if (found instanceof ClassEntry entry) {
                smallest = Math.min(smallest, floorKept(entry, load.upstream()));
            }
        }
        return smallest;
    }

    private double floorKept(ClassEntry entry, UpstreamId upstream) {
        double windowMillis = (counters.toMicros - counters.fromMicros) / 1_000.0;
        double capacityMillis =
                slots.get(upstream) * windowMillis - counters.lostSlotMillis.getOrDefault(upstream, 0.0);
        double got = counters.slotMillis.getOrDefault(new SimCounters.ClassSlot(upstream, entry.id()), 0.0);
        long askedCount = 0;
        long unserved = 0;
        for (CallerRequest request : measured) {
            if (request.load.upstream().equals(upstream)
                    && request.load.classId().equals(entry.id())) {
                askedCount++;
                unserved += request.finishedMicros < 0 ? 1 : 0;
            }
        }
        if (askedCount == 0 || unserved == 0) {
            return 1;
        }
        double offered = got * askedCount / Math.max(1.0, askedCount - (double) unserved);
        double claim = Math.min(offered, entry.floorShare() * capacityMillis);
        return claim <= 0 ? 1 : Math.min(1, got / claim);
    }

    /** Returns the in-time share of requests of callers that are not large, without the flooding stream itself. */
    double smallCallersInTime() {
        return count(measured.stream()
                        .filter(r -> !r.caller.large() && !r.flooding)
                        .toList())
                .inTimeShare();
    }

    double largeCallersInTime() {
        return count(measured.stream().filter(r -> r.caller.large()).toList()).inTimeShare();
    }

    /**
     * Returns Jain's index over callers of the work got, as a part of the caller's max-min fair allocation of all work
     * served at its weight and demand.
     */
    double jain() {
        Map<CallerId, Double> demand = new TreeMap<>();
        Map<CallerId, Double> got = new TreeMap<>();
        Map<CallerId, Double> weight = new TreeMap<>();
        for (CallerEntry entry : plan.catalogue().all(CallerEntry.class)) {
            weight.put(entry.id(), entry.weight());
        }
        double served = 0;
        for (CallerRequest request : measured) {
            double cost = request.outputTokens + request.load.promptTokens() / 20.0;
            demand.merge(request.caller.id(), cost, Double::sum);
            if (request.finishedMicros >= 0) {
                got.merge(request.caller.id(), cost, Double::sum);
                served += cost;
            }
        }
        return FairAllocation.jain(got, FairAllocation.maxMin(demand, weight, served));
    }

    double prefixHitShare() {
        return counters.prefixLookups == 0 ? 0 : (double) counters.prefixHits / counters.prefixLookups;
    }

    double wastedShare() {
        long wasted = 0;
        for (CallerRequest request : all) {
            wasted += request.wastedTokens();
        }
        return counters.generated == 0 ? 0 : (double) wasted / counters.generated;
    }

    double servedTokensPerSecond() {
        long tokens = 0;
        for (CallerRequest request : measured) {
            tokens += request.finishedMicros >= 0 && request.load.promptTokens() > 0 ? request.outputTokens : 0;
        }
        return (double) tokens / plan.measuredSeconds();
    }

    /** Returns the 95th percentile of the time to the first token of a class's answered requests. */
    double firstTokenP95Millis(ClassEntry entry) {
        org.HdrHistogram.Histogram millis = new org.HdrHistogram.Histogram(3_600_000L, 3);
        for (CallerRequest request : measured) {
            if (request.load.classId().equals(entry.id()) && request.firstTokenMicros >= 0) {
                millis.recordValue(Math.max(0, (request.firstTokenMicros - request.firstAskedMicros) / 1_000));
            }
        }
        return millis.getTotalCount() == 0 ? 0 : millis.getValueAtPercentile(95);
    }

    double intervalP95Millis() {
        return counters.intervalMicros.getTotalCount() == 0
                ? 0
                : counters.intervalMicros.getValueAtPercentile(95) / 1_000.0;
    }

    SimCounters counters() {
        return counters;
    }

    /** Returns the in-time share of a class second by second, for plots. */
    Map<Long, Double> inTimeBySecond(ClassEntry entry, long stepSeconds) {
        Map<Long, long[]> bySecond = new TreeMap<>();
        for (CallerRequest request : all) {
            if (request.load.classId().equals(entry.id())) {
                long second = request.firstAskedMicros / 1_000_000 / stepSeconds * stepSeconds;
                long[] counts = bySecond.computeIfAbsent(second, s -> new long[2]);
                counts[0]++;
                counts[1] += request.isInTime(entry.firstTokenTargetMillis()) ? 1 : 0;
            }
        }
        Map<Long, Double> shares = new LinkedHashMap<>();
        bySecond.forEach((second, counts) -> shares.put(second, (double) counts[1] / counts[0]));
        return shares;
    }
}
