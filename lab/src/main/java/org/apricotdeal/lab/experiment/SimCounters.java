package org.apricotdeal.lab.experiment;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;

/** What is counted while an experiment runs. */
final class SimCounters {
    final long fromMicros;
    final long toMicros;
    final Map<ClassSlot, Double> slotMillis = new HashMap<>();
    final Map<CallerId, Double> callerSlotMillis = new HashMap<>();
    final Histogram intervalMicros = new Histogram(60_000_000L, 3);
    long generated;
    long prefixLookups;
    long prefixHits;
    long preemptions;
    long forwards;
    long shareMessages;
    int maxWaiting;

    /** A class at an upstream. */
    record ClassSlot(UpstreamId upstream, ClassId classId) {}

    SimCounters(long fromMicros, long toMicros) {
        this.fromMicros = fromMicros;
        this.toMicros = toMicros;
    }

    void prefixLookup(boolean hit) {
        prefixLookups++;
        if (hit) {
            prefixHits++;
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
