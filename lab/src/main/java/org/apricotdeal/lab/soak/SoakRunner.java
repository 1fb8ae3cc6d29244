package org.apricotdeal.lab.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs a randomised run over a range of seeds from the command line. */
public final class SoakRunner {
    /** Exit code where every seed passed. */
    public static final int EXIT_PASSED = 0;
    /** Exit code where a check failed. */
    public static final int EXIT_FAILED = 1;
    /** Exit code where the arguments are wrong. */
    public static final int EXIT_USAGE = 64;

    private static final Pattern RANGE = Pattern.compile("(\\d{1,15})(?:-(\\d{1,15}))?");

    private SoakRunner() {}

    /**
     * Runs every seed of the range given by {@code --seeds a-b}.
     *
     * @param arguments the command line
     * @param run the run
     * @param out where to print
     * @return the exit code
     */
    public static int runSeeds(String[] arguments, RandomisedRun run, PrintStream out) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> seeds = parser.accepts("seeds", "seeds to run, such as 7 or 1-500")
                .withRequiredArg()
                .defaultsTo("1-100");
        OptionSpec<Void> help = parser.accepts("help", "prints this help").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(out);
                return EXIT_PASSED;
            }
            Matcher range = RANGE.matcher(options.valueOf(seeds));
            if (!range.matches()) {
                out.println(
                        "--seeds: found \"" + options.valueOf(seeds) + "\", expected a seed or a range such as 1-500");
                return EXIT_USAGE;
            }
            long first = Long.parseLong(range.group(1));
            long last = range.group(2) == null ? first : Long.parseLong(range.group(2));
            return runRange(first, last, run, out);
        } catch (OptionException e) {
            out.println(e.getMessage());
            return EXIT_USAGE;
        } catch (IOException e) {
            throw new IllegalStateException("help cannot be printed", e);
        }
    }

    private static int runRange(long first, long last, RandomisedRun run, PrintStream out) {
        int failed = 0;
        for (long seed = first; seed <= last; seed++) {
            try {
                out.println("seed " + seed + ": " + run.run(seed));
            } catch (RunFailure e) {
                failed++;
                out.println("FAILED " + e.getMessage());
            }
        }
        out.println((last - first + 1) + " seeds run, " + failed + " failed");
        return failed == 0 ? EXIT_PASSED : EXIT_FAILED;
    }
}
