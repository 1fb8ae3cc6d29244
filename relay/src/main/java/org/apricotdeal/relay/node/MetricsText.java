package org.apricotdeal.relay.node;

import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Renders metrics as text with one value per line. */
final class MetricsText {
    /** Path of the metrics endpoint. */
    static final String PATH = "/metrics";

    private MetricsText() {}

    static String render(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        metrics.getGauges().forEach((name, gauge) -> line(text, name, "", gauge.getValue()));
        for (Map.Entry<String, Counter> entry : metrics.getCounters().entrySet()) {
            line(text, entry.getKey(), "", entry.getValue().getCount());
        }
        for (Map.Entry<String, Meter> entry : metrics.getMeters().entrySet()) {
            line(text, entry.getKey(), "_total", entry.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> entry : metrics.getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            line(text, entry.getKey(), "_count", entry.getValue().getCount());
            line(text, entry.getKey(), "_p50", snapshot.getMedian());
            line(text, entry.getKey(), "_p95", snapshot.get95thPercentile());
            line(text, entry.getKey(), "_p99", snapshot.get99thPercentile());
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String name, String suffix, Object value) {
        text.append(name.replaceAll("[^A-Za-z0-9_]", "_"))
                .append(suffix)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
