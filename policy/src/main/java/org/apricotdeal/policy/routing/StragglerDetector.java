package org.apricotdeal.policy.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds stragglers by comparison with their peers: a target whose time between tokens exceeds the median of its upstream's
 * targets by the given ratio is slow by as much as it exceeds the median. A fixed bound would call every target a
 * straggler under load, when all batches are large; the median moves with the load.
 */
public final class StragglerDetector {
    private static final int MIN_PEERS = 3;
    private static final double MIN_SPEED = 0.1;

    private StragglerDetector() {}

    /**
     * Sets the speed of each target.
     *
     * @param targets all targets of one upstream
     * @param ratio how many times slower than the median a target is before it counts as a straggler
     * @return targets that became stragglers or ceased to be
     */
    public static List<TargetState> compare(List<TargetState> targets, double ratio) {
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
        return intervals.length < MIN_PEERS ? 0 : intervals[(intervals.length - 1) / 2];
    }
}
