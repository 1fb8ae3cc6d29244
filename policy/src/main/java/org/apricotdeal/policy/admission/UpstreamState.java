package org.apricotdeal.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.policy.routing.TargetState;

/** One upstream: its targets, its classes, and how fast it works. */
final class UpstreamState {
    /** Prompt tokens that take as long as one output token. */
    static final double PROMPT_TOKENS_PER_UNIT = 20.0;

    private static final double SPEED_WEIGHT = 0.02;

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

    /** Returns the work of a request in units of output tokens. */
    static double cost(int promptTokens, double outputTokens) {
        return outputTokens + promptTokens / PROMPT_TOKENS_PER_UNIT;
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

    /** Returns the slots to plan with: those in use now or, where all targets are paused after failures, those after. */
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

    /** Lets targets be tried again whose pause after a failure has passed. */
    void reopenTargets(long nowMillis) {
        for (TargetState target : targets) {
            target.reopenIfDue(nowMillis);
        }
    }

    boolean hasWaiting() {
        for (ClassState state : classes) {
            if (state.waits()) {
                return true;
            }
        }
        return false;
    }

    /** Takes the time that an attempt has held its slot. */
    void observeHold(double holdMillis, double cost) {
        if (cost > 0) {
            millisPerUnit += SPEED_WEIGHT * (holdMillis / cost - millisPerUnit);
        }
    }

    void observeFirstToken(double millis) {
        firstTokenMillis += SPEED_WEIGHT * (millis - firstTokenMillis);
    }

    /** Returns the time for which a unit of work holds a slot. */
    double millisPerUnit() {
        return millisPerUnit;
    }

    /** Returns the smoothed time from dispatch to the first token. */
    double firstTokenMillis() {
        return firstTokenMillis;
    }
}
