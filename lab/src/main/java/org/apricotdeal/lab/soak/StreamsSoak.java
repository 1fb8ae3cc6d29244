package org.apricotdeal.lab.soak;

/** Command line of the randomised run with token streams: {@code StreamsSoak --seeds a-b}. */
public final class StreamsSoak {
    private StreamsSoak() {}

    /**
     * Runs the seeds.
     *
     * @param arguments the command line
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        System.exit(SoakRunner.runSeeds(arguments, new StreamRun(), System.out));
    }
}
