package org.apricotdeal.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.kernel.time.Clock;

/** Samples of an engine's load, reported with a lag. */
final class LoadReports {
    private final Clock clock;
    private final long lagMillis;
    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long atMillis, int running, int waiting, double cacheUsedShare) {}

    LoadReports(Clock clock, long lagMillis) {
        this.clock = clock;
        this.lagMillis = lagMillis;
    }

    synchronized void sample(int running, int waiting, double cacheUsedShare) {
        samples.addLast(new Sample(clock.monotonicMillis(), running, waiting, cacheUsedShare));
        dropOld();
    }

    /** Returns the newest sample that is old enough. */
    synchronized EngineLoad report() {
        dropOld();
        Sample oldest = samples.peekFirst();
        if (oldest == null) {
            return EngineLoad.NONE;
        }
        long ageMillis = clock.monotonicMillis() - oldest.atMillis();
        return new EngineLoad(oldest.running(), oldest.waiting(), oldest.cacheUsedShare(), ageMillis);
    }

    private void dropOld() {
        long dueMillis = clock.monotonicMillis() - lagMillis;
        while (samples.size() > 1 && second().atMillis() <= dueMillis) {
            samples.removeFirst();
        }
    }

    private Sample second() {
        var all = samples.iterator();
        all.next();
        return all.next();
    }
}
