package org.apricotdeal.standins;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;

/** The command {@code standins FILE [--only NAME,NAME]}: hosts the stand-ins of a file until the process is ended. */
public final class StandinsCommand {
    /** Exit code after the stand-ins have ended. */
    public static final int EXIT_OK = 0;

    /** Exit code where the command line is wrong. */
    public static final int EXIT_USAGE = 64;

    /** Exit code where the settings have errors. */
    public static final int EXIT_SETTINGS = 78;

    /** Exit code where a port is taken. */
    public static final int EXIT_UNAVAILABLE = 69;

    private static final String USAGE = "usage: standins FILE [--only NAME,NAME]";

    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates the command.
     *
     * @param out takes one line once the stand-ins serve
     * @param err takes findings and usage errors
     */
    public StandinsCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the command; returns when the process is being ended.
     *
     * @param arguments command line after the command's name
     * @return exit code
     */
    public int run(List<String> arguments) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> only = parser.accepts("only").withRequiredArg().withValuesSeparatedBy(',');
        OptionSpec<String> file = parser.nonOptions();
        OptionSet options;
        try {
            options = parser.parse(arguments.toArray(new String[0]));
        } catch (OptionException e) {
            err.println(e.getMessage());
            err.println(USAGE);
            return EXIT_USAGE;
        }
        if (options.valuesOf(file).size() != 1) {
            err.println(USAGE);
            return EXIT_USAGE;
        }
        return host(Path.of(options.valueOf(file)), new HashSet<>(options.valuesOf(only)));
    }

    private int host(Path path, Set<String> only) {
        Findings findings = new Findings();
        Optional<StandinFleet> fleet;
        try {
            fleet = StandinFleet.start(IniFile.read(path, findings), only, findings);
        } catch (IllegalStateException e) {
            err.println(e.getMessage() + ": " + e.getCause().getMessage());
            return EXIT_UNAVAILABLE;
        }
        if (fleet.isEmpty()) {
            err.println(findings);
            return EXIT_SETTINGS;
        }
        out.println("stand-ins serve");
        serveUntilEnded(fleet.get());
        return EXIT_OK;
    }

    private static void serveUntilEnded(StandinFleet fleet) {
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(ended::countDown, "standins-end"));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        fleet.close();
    }
}
