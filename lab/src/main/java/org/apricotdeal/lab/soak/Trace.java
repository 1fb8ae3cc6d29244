package org.apricotdeal.lab.soak;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apricotdeal.lab.sim.Scheduler;

/** The last lines of what happened in a run, printed where a check fails. */
public final class Trace {
    private static final int CAPACITY = 400;

    private final Scheduler scheduler;
    private final Deque<String> lines = new ArrayDeque<>();

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
     * @param actor who did it
     * @param text what was done
     */
    public void add(String actor, String text) {
        lines.addLast(scheduler.monotonicMillis() + " " + actor + ": " + text);
        if (lines.size() > CAPACITY) {
            lines.removeFirst();
        }
    }

    @Override
    public String toString() {
        return String.join("\n", lines);
    }
}
