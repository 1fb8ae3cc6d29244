package org.apricotdeal.lab.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** The figures of a run as text, CSV and plot. Times are milliseconds from the intended start of a request. */
public final class LoadReport {
    private static final int PLOT_WIDTH_PIXELS = 1_000;
    private static final int PLOT_HEIGHT_PIXELS = 500;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final List<String> COLUMNS = List.of(
            "group",
            "sent",
            "in_time",
            "late",
            "not_run",
            "unknown",
            "wrong",
            "unfinished",
            "latency_p50_ms",
            "latency_p95_ms",
            "latency_p99_ms",
            "first_token_p50_ms",
            "first_token_p95_ms",
            "first_token_p99_ms",
            "gap_p50_ms",
            "gap_p95_ms",
            "gap_p99_ms");

    private final LoadPlan plan;
    private final LoadRecorder recorder;

    /**
     * Creates a report.
     *
     * @param plan the plan that ran
     * @param recorder what was counted and timed
     */
    public LoadReport(LoadPlan plan, LoadRecorder recorder) {
        this.plan = plan;
        this.recorder = recorder;
    }

    /**
     * Writes the figures as CSV.
     *
     * @return a heading, and a line for each class and caller
     */
    public String csv() {
        StringBuilder csv = new StringBuilder(String.join(",", COLUMNS)).append('\n');
        recorder.rows().forEach((name, row) -> csv.append(String.join(",", cells(name, row)))
                .append('\n'));
        return csv.toString();
    }

    /**
     * Writes the figures as a table for people.
     *
     * @return the table, and what is wrong with answers
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT, "load %s, seed %d, %d ms%n", plan.name(), plan.seed(), plan.durationMillis()));
        text.append(line(COLUMNS));
        for (Map.Entry<String, LoadRecorder.Row> row : recorder.rows().entrySet()) {
            text.append(line(cells(row.getKey(), row.getValue())));
        }
        recorder.faults().forEach(fault -> text.append("wrong: ").append(fault).append('\n'));
        return text.toString();
    }

    private static String line(List<String> cells) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-28s", cells.getFirst()));
        for (int i = 1; i < cells.size(); i++) {
            int width = Math.max(COLUMNS.get(i).length(), 8) + 1;
            line.append(" ".repeat(Math.max(1, width - cells.get(i).length()))).append(cells.get(i));
        }
        return line.append('\n').toString();
    }

    private static List<String> cells(String name, LoadRecorder.Row row) {
        List<String> cells = new ArrayList<>();
        cells.add(name);
        cells.add(Integer.toString(row.sent()));
        int ended = 0;
        for (Verdict verdict : Verdict.values()) {
            ended += row.count(verdict);
            cells.add(Integer.toString(row.count(verdict)));
        }
        cells.add(Integer.toString(row.sent() - ended));
        for (Histogram histogram : List.of(row.latencyMicros(), row.firstTokenMicros(), row.gapMicros())) {
            cells.add(millis(histogram, 50));
            cells.add(millis(histogram, 95));
            cells.add(millis(histogram, 99));
        }
        return cells;
    }

    private static String millis(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0
                ? "-"
                : String.format(Locale.ROOT, "%.1f", histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
    }

    /**
     * Plots how the requests of each second ended.
     *
     * @param file the PNG file to write
     * @throws IOException where it cannot be written
     */
    public void plot(Path file) throws IOException {
        Map<Long, Map<Verdict, Integer>> bySecond = recorder.bySecond();
        if (bySecond.isEmpty()) {
            return;
        }
        XYChart chart = new XYChartBuilder()
                .width(PLOT_WIDTH_PIXELS)
                .height(PLOT_HEIGHT_PIXELS)
                .title(plan.name() + ", seed " + plan.seed())
                .xAxisTitle("second in which the request was to be sent")
                .yAxisTitle("requests")
                .build();
        List<Long> seconds = new ArrayList<>(bySecond.keySet());
        for (Verdict verdict : Verdict.values()) {
            List<Integer> counts = new ArrayList<>();
            for (long second : seconds) {
                counts.add(bySecond.get(second).getOrDefault(verdict, 0));
            }
            chart.addSeries(verdict.name().toLowerCase(Locale.ROOT).replace('_', ' '), seconds, counts)
                    .setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
