package org.apricotdeal.policy.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Detects stragglers by comparison with their peers. A target is a straggler if its time between tokens exceeds the given
 * multiple of the median of its upstream's targets; its speed is then the median divided by its own time. A fixed bound
 * would classify every target as a straggler under load, when all batches are large; the median changes with the load.
 */
public final class StragglerDetector {
    private static final int MIN_TARGETS = 3;
    private static final double MIN_SPEED = 0.1;

    private StragglerDetector() {}

    /**
     * Updates the speed of each target.
     *
     * @param targets all targets of one upstream
     * @param ratio multiple of the median time between tokens above which a target is a straggler
     * @return targets that became stragglers or recovered
     */
    public static List<TargetState> updateSpeeds(List<TargetState> targets, double ratio) {
        double median = median(targets);
        List<TargetState> changed = new ArrayList<>();
        for (TargetState state : targets) {
            double before = state.speed();
            state.setSpeed(speedOf(state, median, ratio));
            if ((before < 1.0) != (state.speed() < 1.0)) {
                changed.add(state);
            }
        }
        return changed;
    }

    private static double speedOf(TargetState state, double median, double ratio) {
        double interval = state.tokenIntervalMillis();
        if (median == 0 || interval <= ratio * median) {
            return 1.0;
        }
        return Math.max(MIN_SPEED, median / interval);
    }

    private static double median(List<TargetState> targets) {
        double[] intervals = targets.stream()
                .mapToDouble(TargetState::tokenIntervalMillis)
                .filter(interval -> interval > 0)
                .sorted()
                .toArray();
        return intervals.length < MIN_TARGETS ? 0 : intervals[(intervals.length - 1) / 2];
    }
}
