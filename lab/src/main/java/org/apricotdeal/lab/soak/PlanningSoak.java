package org.apricotdeal.lab.soak;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apricotdeal.kernel.misc.InvariantViolation;

/** Runs many seeds of {@link PlanningRun}: {@code PlanningSoak --seeds 1-1000}. */
public final class PlanningSoak {
    private static final Pattern SEEDS = Pattern.compile("(\\d+)-(\\d+)");
    private static final int USAGE_EXIT = 64;

    private PlanningSoak() {}

    /**
     * Runs the seeds and prints what was measured; a failing seed prints its trace.
     *
     * @param arguments {@code --seeds first-last}
     */
    public static void main(String[] arguments) {
        Matcher seeds = SEEDS.matcher(arguments.length == 2 ? arguments[1] : "");
        if (arguments.length != 2 || !"--seeds".equals(arguments[0]) || !seeds.matches()) {
            System.err.println("usage: PlanningSoak --seeds first-last");
            System.exit(USAGE_EXIT);
        }
        boolean passed = run(Long.parseLong(seeds.group(1)), Long.parseLong(seeds.group(2)));
        System.exit(passed ? 0 : 1);
    }

    private static boolean run(long first, long last) {
        PlanningFigures sum = PlanningFigures.NONE;
        int failed = 0;
        for (long seed = first; seed <= last; seed++) {
            PlanningRun run = new PlanningRun(seed, PlanningMutations.NONE);
            try {
                sum = sum.plus(run.run());
            } catch (InvariantViolation e) {
                failed++;
                System.out.println(failed == 1 ? run.trace() : "");
                System.out.println("FAILED seed " + seed + ": " + e.getMessage());
            }
        }
        System.out.println(sum);
        System.out.println(failed + " seeds failed");
        return failed == 0;
    }
}
