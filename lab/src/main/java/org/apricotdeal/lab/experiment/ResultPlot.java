package org.apricotdeal.lab.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.ClassEntry;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the in-time share of the most urgent class over time, a line for each variant. */
final class ResultPlot {
    private static final long STEP_SECONDS = 5;
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;

    private ResultPlot() {}

    static void write(ExperimentPlan plan, List<RunResult> results, Path file) throws IOException {
        ClassEntry urgent = plan.catalogue().all(ClassEntry.class).stream()
                .min(java.util.Comparator.comparingInt(ClassEntry::priority))
                .orElseThrow();
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(plan.name())
                .xAxisTitle("time in s")
                .yAxisTitle("share of " + urgent.id() + " requests in time")
                .build();
        for (RunResult result : results) {
            Map<Long, Double> shares = result.inTimeBySecond(urgent, STEP_SECONDS);
            chart.addSeries(
                            result.variant().label() + ", seed " + result.seed(),
                            new ArrayList<>(shares.keySet()),
                            new ArrayList<>(shares.values()))
                    .setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
