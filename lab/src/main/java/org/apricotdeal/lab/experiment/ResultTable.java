package org.apricotdeal.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.policy.admission.RefusalReason;

/** One row for each variant: means over the seeds, and the worst seed where it matters. */
final class ResultTable {
    private static final List<RefusalReason> SHOWN_REASONS =
            List.of(RefusalReason.PREDICTED_LATE, RefusalReason.EXPIRED, RefusalReason.QUEUE_FULL);

    private final List<ClassEntry> classes;
    private final List<String> columns = new ArrayList<>();
    private final List<List<String>> rows = new ArrayList<>();

    ResultTable(ExperimentPlan plan) {
        classes = new ArrayList<>(plan.catalogue().all(ClassEntry.class));
        classes.sort(java.util.Comparator.comparingInt(ClassEntry::priority));
        columns.add("variant");
        for (ClassEntry entry : classes) {
            columns.add(entry.id() + " in time %");
        }
        columns.add(classes.getFirst().id() + " worst %");
        columns.add(classes.getFirst().id() + " failed");
        for (RefusalReason reason : SHOWN_REASONS) {
            columns.add(classes.getFirst().id() + " "
                    + reason.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
        columns.add(classes.getFirst().id() + " p95 ms");
        columns.add("interval p95 ms");
        columns.add("floor kept %");
        columns.add("small in time %");
        columns.add("small lost %");
        columns.add("large in time %");
        columns.add("Jain");
        columns.add("prefix hits %");
        columns.add("wasted %");
        columns.add("tokens/s");
        columns.add("paused");
        columns.add("forwarded");
        columns.add("engine queue");
    }

    void add(Variant variant, List<RunResult> results, List<RunResult> twins) {
        List<String> row = new ArrayList<>();
        ClassEntry urgent = classes.getFirst();
        row.add(variant.label());
        for (ClassEntry entry : classes) {
            row.add(percent(mean(results, r -> r.byClass().get(entry).inTimeShare())));
        }
        row.add(percent(results.stream()
                .mapToDouble(r -> r.byClass().get(urgent).inTimeShare())
                .min()
                .orElse(0)));
        row.add(number(mean(results, r -> (double) r.byClass().get(urgent).failed()), 1));
        for (RefusalReason reason : SHOWN_REASONS) {
            row.add(number(mean(results, r -> (double) r.counters().refusals(urgent.id(), reason)), 1));
        }
        row.add(number(mean(results, r -> r.firstTokenP95Millis(urgent)), 0));
        row.add(number(mean(results, RunResult::intervalP95Millis), 1));
        row.add(percent(
                results.stream().mapToDouble(RunResult::smallestFloorKept).min().orElse(0)));
        double small = mean(results, RunResult::smallCallersInTime);
        row.add(percent(small));
        row.add(twins.isEmpty() ? "-" : percent(mean(twins, RunResult::smallCallersInTime) - small));
        row.add(percent(mean(results, RunResult::largeCallersInTime)));
        row.add(number(mean(results, RunResult::jain), 3));
        row.add(percent(mean(results, RunResult::prefixHitShare)));
        row.add(percent(mean(results, RunResult::wastedShare)));
        row.add(number(mean(results, RunResult::servedTokensPerSecond), 0));
        row.add(number(mean(results, r -> (double) r.counters().preemptions), 0));
        row.add(number(mean(results, r -> (double) r.counters().forwards), 0));
        row.add(number(
                results.stream().mapToDouble(r -> r.counters().maxWaiting).max().orElse(0), 0));
        rows.add(row);
    }

    private static double mean(List<RunResult> results, ToDoubleFunction<RunResult> measure) {
        return results.stream().mapToDouble(measure).average().orElse(0);
    }

    private static String percent(double share) {
        return number(100 * share, 2);
    }

    private static String number(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }

    /** Returns the table as Markdown, with a measure in each row and a variant in each column. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (int column = 0; column < columns.size(); column++) {
            text.append(String.format(Locale.ROOT, "| %-22s |", columns.get(column)));
            for (List<String> row : rows) {
                text.append(String.format(Locale.ROOT, " %16s |", row.get(column)));
            }
            text.append(System.lineSeparator());
            if (column == 0) {
                text.append("| --- |").append(" ---: |".repeat(rows.size())).append(System.lineSeparator());
            }
        }
        return text.toString();
    }

    String csv() {
        StringBuilder text = new StringBuilder(String.join(",", columns)).append('\n');
        for (List<String> row : rows) {
            text.append(String.join(",", row)).append('\n');
        }
        return text.toString();
    }
}
