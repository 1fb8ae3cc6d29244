package org.apricotdeal.lab.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.kernel.message.Findings;

/**
 * Runs an experiment: {@code FILE [--seeds 1-5] [--baselines] [--out DIRECTORY]}. Prints a table and writes it as CSV,
 * with a plot of the in-time share over time. A run is a function of the file and the seed.
 */
public final class ExperimentCommand {
    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE = 64;
    private static final int EXIT_DATA = 65;
    private static final int EXIT_IO = 74;

    private final PrintStream out;

    /**
     * Creates the command.
     *
     * @param out takes tables and findings
     */
    public ExperimentCommand(PrintStream out) {
        this.out = out;
    }

    /** The command's arguments. */
    private record Request(Path file, long firstSeed, long lastSeed, boolean baselines, Path directory) {}

    /**
     * Runs the command as a program.
     *
     * @param args the arguments
     */
    public static void main(String[] args) {
        System.exit(
                new ExperimentCommand(new PrintStream(System.out, true, StandardCharsets.UTF_8)).run(List.of(args)));
    }

    /**
     * Runs the command.
     *
     * @param args the arguments
     * @return exit code: 0, 64 for wrong arguments, 65 for a wrong file, 74 where results cannot be written
     */
    public int run(List<String> args) {
        Request request = parse(args);
        if (request == null) {
            out.println("usage: apricotdeal lab experiment FILE [--seeds FIRST-LAST] [--baselines] [--out DIRECTORY]");
            return EXIT_USAGE;
        }
        Findings findings = new Findings();
        ExperimentPlan plan = ExperimentReader.read(request.file(), findings);
        if (findings.hasErrors()) {
            out.println(findings);
            return EXIT_DATA;
        }
        try {
            Files.createDirectories(request.directory());
            report(plan, request);
        } catch (IOException e) {
            out.println("cannot write results: " + e.getMessage());
            return EXIT_IO;
        }
        return EXIT_OK;
    }

    private void report(ExperimentPlan plan, Request request) throws IOException {
        List<Variant> variants = request.baselines() ? List.of(Variant.values()) : List.of(Variant.DEFAULT);
        ResultTable table = new ResultTable(plan);
        List<RunResult> first = new ArrayList<>();
        for (Variant variant : variants) {
            List<RunResult> results = new ArrayList<>();
            List<RunResult> twins = new ArrayList<>();
            for (long seed = request.firstSeed(); seed <= request.lastSeed(); seed++) {
                results.add(run(plan, variant, seed));
                if (!plan.floods().isEmpty()) {
                    twins.add(run(plan.quiet(), variant, seed));
                }
            }
            table.add(variant, results, twins);
            first.add(results.getFirst());
        }
        out.printf("experiment %s, seeds %d to %d%n", plan.name(), request.firstSeed(), request.lastSeed());
        out.print(table.text());
        Files.writeString(request.directory().resolve(plan.name() + ".csv"), table.csv());
        ResultPlot.write(plan, first, request.directory().resolve(plan.name() + ".png"));
    }

    /**
     * Runs an experiment once.
     *
     * @param plan the experiment
     * @param variant the system or a baseline
     * @param seed seed of the run
     * @return the measures
     */
    static RunResult run(ExperimentPlan plan, Variant variant, long seed) {
        return new SimCluster(plan, variant, seed).run();
    }

    private static Request parse(List<String> args) {
        Path file = null;
        long first = 1;
        long last = 5;
        boolean baselines = false;
        Path directory = Path.of("target", "experiments");
        for (int i = 0; i < args.size(); i++) {
            String arg = args.get(i);
            boolean hasValue = i + 1 < args.size();
            if (arg.equals("--baselines")) {
                baselines = true;
            } else if (arg.equals("--seeds") && hasValue && args.get(i + 1).matches("\\d{1,9}(-\\d{1,9})?")) {
                List<String> ends = List.of(args.get(++i).split("-", 2));
                first = Long.parseLong(ends.getFirst());
                last = Long.parseLong(ends.getLast());
            } else if (arg.equals("--out") && hasValue) {
                directory = Path.of(args.get(++i));
            } else if (file == null && !arg.startsWith("--")) {
                file = Path.of(arg);
            } else {
                return null;
            }
        }
        return file == null || last < first ? null : new Request(file, first, last, baselines, directory);
    }
}
