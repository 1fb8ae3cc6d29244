package org.apricotdeal.lab.soak;

/** Command line of the randomised run with bookings: {@code ClaimsSoak --seeds a-b}. */
public final class ClaimsSoak {
    private ClaimsSoak() {}

    /**
     * Runs the seeds.
     *
     * @param arguments the command line
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        System.exit(SoakRunner.runSeeds(arguments, new BookingRun(), System.out));
    }
}
