package org.apricotdeal.lab.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.misc.Version;
import org.apricotdeal.kernel.settings.IniFile;
import org.eclipse.jetty.client.HttpClient;

/** The command {@code lab load FILE}: runs a load plan, prints its table and writes CSV and plot. */
public final class LoadCommand {
    /** Exit code where every answer was whole, its own, and no booking ran twice. */
    public static final int EXIT_OK = 0;
    /** Exit code where the command line is wrong. */
    public static final int EXIT_USAGE = 64;
    /** Exit code where the plan has findings, or an answer was wrong, or a booking ran twice. */
    public static final int EXIT_DATA = 65;
    /** Exit code where no request was answered. */
    public static final int EXIT_UNAVAILABLE = 69;

    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final String USAGE = "usage: apricotdeal lab load FILE [OPTIONS]";

    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates the command.
     *
     * @param out takes tables
     * @param err takes findings and usage errors
     */
    public LoadCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the command.
     *
     * @param arguments command line after the command's name
     * @return exit code
     */
    public int run(List<String> arguments) {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "show this help and exit");
        OptionSpec<Void> version = parser.accepts("version", "show the version and exit");
        OptionSpec<Void> direct = parser.accepts("direct", "send straight to the plan's upstreams, without the nodes");
        OptionSpec<Long> seed = parser.accepts("seed", "seed in place of the plan's")
                .withRequiredArg()
                .ofType(Long.class);
        OptionSpec<String> directory = parser.accepts("out", "directory for the CSV file and the plot")
                .withRequiredArg()
                .describedAs("DIRECTORY");
        try {
            OptionSet options = parser.parse(arguments.toArray(new String[0]));
            if (options.has(help)) {
                out.println(USAGE);
                parser.printHelpOn(out);
                return EXIT_OK;
            }
            if (options.has(version)) {
                out.println("apricotdeal " + Version.CURRENT);
                return EXIT_OK;
            }
            if (options.nonOptionArguments().size() != 1) {
                throw new IllegalArgumentException("expected one file");
            }
            Path file = Path.of(String.valueOf(options.nonOptionArguments().getFirst()));
            Path into = options.has(directory) ? Path.of(options.valueOf(directory)) : null;
            return load(file, options.valueOf(seed), options.has(direct), into);
        } catch (OptionException | IllegalArgumentException e) {
            err.println(e.getMessage());
            err.println(USAGE);
            return EXIT_USAGE;
        } catch (IOException e) {
            err.println("cannot write results: " + e);
            return EXIT_DATA;
        }
    }

    private int load(Path file, Long seed, boolean isDirect, Path into) throws IOException {
        Findings findings = new Findings();
        LoadPlan read = LoadReader.read(IniFile.read(file, findings), findings);
        if (findings.hasErrors()) {
            err.println(findings);
            return EXIT_DATA;
        }
        LoadPlan plan = seed == null ? read : withSeed(read, seed);
        if ((isDirect ? plan.direct() : plan.nodes()).isEmpty()) {
            throw new IllegalArgumentException("the plan names no " + (isDirect ? "direct" : "nodes") + " addresses");
        }
        HttpClient client = HttpClients.start("load", CONNECT_TIMEOUT_MILLIS);
        try {
            LoadRecorder recorder = new LoadRunner(plan, isDirect, client, out).run();
            return report(plan, recorder, ExecutionCount.read(plan, client), into);
        } finally {
            HttpClients.stop(client);
        }
    }

    private static LoadPlan withSeed(LoadPlan plan, long seed) {
        return new LoadPlan(
                plan.name(),
                seed,
                plan.durationMillis(),
                plan.drainMillis(),
                plan.nodes(),
                plan.direct(),
                plan.services(),
                plan.works(),
                plan.faults());
    }

    private int report(LoadPlan plan, LoadRecorder recorder, ExecutionCount executions, Path into) throws IOException {
        LoadReport report = new LoadReport(plan, recorder);
        out.print(report.text());
        if (!plan.services().isEmpty()) {
            out.printf("bookings executed %d, more than once %d%n", executions.executed(), executions.repeated());
            executions.unreadable().forEach(address -> out.println("executions of " + address + " could not be read"));
        }
        if (into != null) {
            Files.createDirectories(into);
            Files.writeString(into.resolve(plan.name() + ".csv"), report.csv());
            report.plot(into.resolve(plan.name() + ".png"));
        }
        if (recorder.count(Verdict.WRONG) > 0 || executions.repeated() > 0) {
            return EXIT_DATA;
        }
        boolean isAnswered = recorder.count(Verdict.IN_TIME) + recorder.count(Verdict.LATE) > 0;
        return isAnswered || recorder.sent() == 0 ? EXIT_OK : EXIT_UNAVAILABLE;
    }
}
