package org.apricotdeal.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.policy.routing.TargetState;

/** State of one upstream: its targets, its classes and its measured speed. */
final class UpstreamState {
    /** Number of prompt tokens that cost as much as one output token. */
    static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 20.0;

    private static final double SMOOTHING_FACTOR = 0.02;

    final UpstreamId id;
    final List<TargetState> targets = new ArrayList<>();
    final List<ClassState> classes = new ArrayList<>();
    final Map<ClassId, ClassState> classById = new HashMap<>();
    private double millisPerUnit;
    private double firstTokenMillis;

    UpstreamState(UpstreamId id, double millisPerUnit) {
        this.id = id;
        this.millisPerUnit = millisPerUnit;
    }

    /** Returns the cost of a request in units of output tokens. */
    static double cost(int promptTokens, double outputTokens) {
        return outputTokens + promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    }

    void addClass(ClassState state) {
        classes.add(state);
        classById.put(state.entry.id(), state);
        sortClasses();
    }

    void sortClasses() {
        classes.sort(
                Comparator.<ClassState>comparingInt(c -> c.entry.priority()).thenComparing(c -> c.entry.id()));
    }

    int slots() {
        int sum = 0;
        for (TargetState target : targets) {
            sum += target.slots();
        }
        return sum;
    }

    /** Returns the current slots or, if all targets are paused after failures, the slots after the pause. */
    int plannedSlots() {
        int now = slots();
        if (now > 0) {
            return now;
        }
        int sum = 0;
        for (TargetState target : targets) {
            sum += target.plannedSlots();
        }
        return sum;
    }

    int freeSlots() {
        int sum = 0;
        for (TargetState target : targets) {
            sum += target.freeSlots();
        }
        return sum;
    }

    /** Half-opens the circuit breakers of targets whose pause after a failure has passed. */
    void halfOpenDueTargets(long nowMillis) {
        for (TargetState target : targets) {
            target.halfOpenIfDue(nowMillis);
        }
    }

    boolean hasWaiting() {
        for (ClassState state : classes) {
            if (state.hasWaiting()) {
                return true;
            }
        }
        return false;
    }

    /** Updates the smoothed time per unit of cost with an attempt that held a slot for the given time. */
    void observeServiceTime(double serviceMillis, double cost) {
        if (cost > 0) {
            millisPerUnit += SMOOTHING_FACTOR * (serviceMillis / cost - millisPerUnit);
        }
    }

    void observeFirstToken(double millis) {
        firstTokenMillis += SMOOTHING_FACTOR * (millis - firstTokenMillis);
    }

    /** Returns the smoothed time for which one unit of cost occupies a slot. */
    double millisPerUnit() {
        return millisPerUnit;
    }

    /** Returns the smoothed time from dispatch to the first token. */
    double firstTokenMillis() {
        return firstTokenMillis;
    }
}
