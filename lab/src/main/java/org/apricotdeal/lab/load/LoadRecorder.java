package org.apricotdeal.lab.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counts and times the requests of a run. Times start when a request was meant to be sent and not when it was sent, so
 * that a stall of the sender or the system is not left out of the figures.
 */
public final class LoadRecorder {
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int DIGITS = 3;
    private static final int MAX_FAULTS = 20;

    private final Map<String, Row> rows = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();
    private final Map<Long, Map<Verdict, Integer>> bySecond = new TreeMap<>();
    private int sent;
    private int ended;

    /** Figures of one class or caller. */
    static final class Row {
        private final Map<Verdict, Integer> verdicts = new EnumMap<>(Verdict.class);
        private final Histogram latencyMicros = new Histogram(MAX_MICROS, DIGITS);
        private final Histogram firstTokenMicros = new Histogram(MAX_MICROS, DIGITS);
        private final Histogram gapMicros = new Histogram(MAX_MICROS, DIGITS);
        private int sent;

        int sent() {
            return sent;
        }

        int count(Verdict verdict) {
            return verdicts.getOrDefault(verdict, 0);
        }

        Histogram latencyMicros() {
            return latencyMicros;
        }

        Histogram firstTokenMicros() {
            return firstTokenMicros;
        }

        Histogram gapMicros() {
            return gapMicros;
        }
    }

    /**
     * Notes that a request is sent.
     *
     * @param work its work
     */
    public synchronized void sent(Work work) {
        sent++;
        for (String name : names(work)) {
            row(name).sent++;
        }
    }

    /**
     * Notes how a request ended.
     *
     * @param arrival the request
     * @param verdict how it ended
     * @param micros time from its intended start to its end
     * @param firstTokenMicros time from its intended start to its first token, or -1 where none came
     * @param gapsMicros times between its tokens
     */
    public synchronized void ended(
            Arrival arrival, Verdict verdict, long micros, long firstTokenMicros, List<Long> gapsMicros) {
        ended++;
        for (String name : names(arrival.work())) {
            Row row = row(name);
            row.verdicts.merge(verdict, 1, Integer::sum);
            if (verdict == Verdict.IN_TIME || verdict == Verdict.LATE) {
                row.latencyMicros.recordValue(bounded(micros));
            }
            if (firstTokenMicros >= 0) {
                row.firstTokenMicros.recordValue(bounded(firstTokenMicros));
            }
            gapsMicros.forEach(gap -> row.gapMicros.recordValue(bounded(gap)));
        }
        bySecond.computeIfAbsent(arrival.atMicros() / MICROS_PER_SECOND, ignored -> new EnumMap<>(Verdict.class))
                .merge(verdict, 1, Integer::sum);
    }

    /**
     * Notes what is wrong with an answer; the first {@value #MAX_FAULTS} are kept.
     *
     * @param fault a description for people
     */
    public synchronized void fault(String fault) {
        if (faults.size() < MAX_FAULTS) {
            faults.add(fault);
        }
    }

    /**
     * Returns how many requests have been sent.
     *
     * @return number of requests
     */
    public synchronized int sent() {
        return sent;
    }

    /**
     * Returns how many requests have ended.
     *
     * @return number of requests
     */
    public synchronized int ended() {
        return ended;
    }

    /**
     * Returns how many requests ended in a way.
     *
     * @param verdict the way
     * @return number of requests over all classes
     */
    public synchronized int count(Verdict verdict) {
        int sum = 0;
        for (Map<Verdict, Integer> second : bySecond.values()) {
            sum += second.getOrDefault(verdict, 0);
        }
        return sum;
    }

    synchronized Map<String, Row> rows() {
        return new TreeMap<>(rows);
    }

    synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    synchronized Map<Long, Map<Verdict, Integer>> bySecond() {
        return new TreeMap<>(bySecond);
    }

    private static List<String> names(Work work) {
        return List.of(
                "class " + work.common().className(), "caller " + work.common().caller());
    }

    private Row row(String name) {
        return rows.computeIfAbsent(name, ignored -> new Row());
    }

    private static long bounded(long micros) {
        return Math.clamp(micros, 0, MAX_MICROS);
    }
}
