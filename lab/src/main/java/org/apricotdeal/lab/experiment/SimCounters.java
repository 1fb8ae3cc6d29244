package org.apricotdeal.lab.experiment;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.policy.admission.RefusalReason;

/** What is counted while an experiment runs. */
final class SimCounters {
    final long fromMicros;
    final long toMicros;
    final Map<ClassSlot, Double> slotMillis = new HashMap<>();
    final Map<UpstreamId, Double> lostSlotMillis = new HashMap<>();
    final Map<CallerId, Double> callerSlotMillis = new HashMap<>();
    private final Map<ClassRefusal, Long> refusals =
            new TreeMap<>(Comparator.comparing(ClassRefusal::classId).thenComparing(ClassRefusal::reason));
    final Histogram intervalMicros = new Histogram(60_000_000L, 3);
    long generated;
    long prefixLookups;
    long prefixHits;
    long preemptions;
    long forwards;
    long shareMessages;
    int maxWaiting;

    /** A class's refusals for one reason. */
    private record ClassRefusal(ClassId classId, RefusalReason reason) {}

    /** A class at an upstream. */
    record ClassSlot(UpstreamId upstream, ClassId classId) {}

    SimCounters(long fromMicros, long toMicros) {
        this.fromMicros = fromMicros;
        this.toMicros = toMicros;
    }

    void refused(ClassId classId, RefusalReason reason) {
        refusals.merge(new ClassRefusal(classId, reason), 1L, Long::sum);
    }

    long refusals(ClassId classId, RefusalReason reason) {
        return refusals.getOrDefault(new ClassRefusal(classId, reason), 0L);
    }

    void prefixLookup(boolean hit) {
        prefixLookups++;
        if (hit) {
            prefixHits++;
        }
    }

    /** Counts the part of a target's loss that lies within the measured time. */
    void lost(UpstreamId upstream, int slots, long startMicros, long endMicros) {
        long overlapMicros = Math.min(endMicros, toMicros) - Math.max(startMicros, fromMicros);
        if (overlapMicros > 0) {
            lostSlotMillis.merge(upstream, slots * (overlapMicros / 1_000.0), Double::sum);
        }
    }

    /** Counts the part of a hold of a slot that lies within the measured time. */
    void held(CallerRequest request, long startMicros, long endMicros) {
        long overlapMicros = Math.min(endMicros, toMicros) - Math.max(startMicros, fromMicros);
        if (overlapMicros <= 0) {
            return;
        }
        double millis = overlapMicros / 1_000.0;
        slotMillis.merge(new ClassSlot(request.load.upstream(), request.load.classId()), millis, Double::sum);
        callerSlotMillis.merge(request.caller.id(), millis, Double::sum);
    }
}
