package org.apricotdeal.lab.soak;

import org.apricotdeal.kernel.misc.InvariantViolation;

/** Command line of the randomised run of planning: {@code PlanningSoak --seeds a-b}; prints the sum of all figures last. */
public final class PlanningSoak {
    private static PlanningFigures sum = PlanningFigures.NONE;

    private PlanningSoak() {}

    /**
     * Runs the seeds.
     *
     * @param arguments the command line
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        int exitCode = SoakRunner.runSeeds(arguments, PlanningSoak::run, System.out);
        System.out.println(sum);
        System.exit(exitCode);
    }

    /**
     * Runs one seed.
     *
     * @param seed the seed
     * @return the run's figures
     * @throws RunFailure where a check failed
     */
    public static String run(long seed) {
        PlanningRun run = new PlanningRun(seed, PlanningMutations.NONE);
        try {
            PlanningFigures figures = run.run();
            sum = sum.plus(figures);
            return figures.toString();
        } catch (InvariantViolation violation) {
            throw new RunFailure(seed, violation, run.traceLines(), PlanningRun.COMMAND + seed);
        }
    }
}
