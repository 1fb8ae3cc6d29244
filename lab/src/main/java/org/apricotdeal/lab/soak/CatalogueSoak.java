package org.apricotdeal.lab.soak;

/** Command line of the randomised run of the catalogue's spread: {@code CatalogueSoak --seeds a-b}. */
public final class CatalogueSoak {
    private CatalogueSoak() {}

    /**
     * Runs the seeds.
     *
     * @param arguments the command line
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        System.exit(SoakRunner.runSeeds(arguments, new CatalogueRun(), System.out));
    }
}
