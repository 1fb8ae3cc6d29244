package org.apricotdeal.lab.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

import org.apricotdeal.lab.sim.Scheduler;

/** Keeps the last lines of what happened in a run, to be printed where a check fails. */
public final class Trace {
    private static final int KEPT_LINES = 20_000;
    private static final int PRINTED_LINES = 400;

    private final Scheduler scheduler;
    private final Deque<Line> lines = new ArrayDeque<>();

    private record Line(long atMicros, String subject, String text) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%12.3f ms  %s %s", atMicros / 1e3, subject, text);
        }
    }

    /**
     * Creates an empty trace.
     *
     * @param scheduler virtual clock of the run
     */
    public Trace(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Adds a line.
     *
     * @param subject what it concerns, such as a booking's key; empty for faults and other matters of all
     * @param text what happened
     */
    public void add(String subject, String text) {
        lines.addLast(new Line(scheduler.nowMicros(), subject, text));
        if (lines.size() > KEPT_LINES) {
            lines.removeFirst();
        }
    }

    /**
     * Returns the lines that concern a subject, and those that concern all.
     *
     * @param subject the subject
     * @param most how many lines at most, the newest
     * @return the lines in order
     */
    public List<String> about(String subject, int most) {
        List<String> found = new ArrayList<>();
        for (Line line : lines) {
            if (line.subject().isEmpty() || line.subject().equals(subject)) {
                found.add(line.toString());
            }
        }
        return newest(found, most);
    }

    /** Returns the newest lines, whatever they concern. */
    @Override
    public String toString() {
        return String.join("\n", newest(lines.stream().map(Line::toString).toList(), PRINTED_LINES));
    }

    private static List<String> newest(List<String> all, int most) {
        return List.copyOf(all.subList(Math.max(0, all.size() - most), all.size()));
    }
}
