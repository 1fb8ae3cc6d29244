package org.apricotdeal.node.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the metrics as JSON and as Prometheus text. */
public final class MetricsPlugin implements NodePlugin {
    private static final ObjectMapper JSON =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    @Override
    public String name() {
        return "metrics";
    }

    @Override
    public void register(NodeKernel kernel) {
        MetricRegistry metrics = kernel.metrics();
        kernel.callerRoute("/metrics", new MetricsHandler(metrics));
        kernel.peerRoute("/metrics", new MetricsHandler(metrics));
    }

    /** Responds with all metrics of a registry, as JSON if the path ends with {@code .json}. */
    private static final class MetricsHandler extends Handler.Abstract.NonBlocking {
        private final MetricRegistry metrics;

        MetricsHandler(MetricRegistry metrics) {
            this.metrics = metrics;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws JsonProcessingException {
            boolean json = request.getHttpURI().getPath().endsWith(".json");
            byte[] body =
                    json ? JSON.writeValueAsBytes(metrics) : prometheusText().getBytes(StandardCharsets.UTF_8);
            response.getHeaders()
                    .put(
                            HttpHeader.CONTENT_TYPE,
                            json ? "application/json" : "text/plain; version=0.0.4; charset=utf-8");
            response.write(true, ByteBuffer.wrap(body), callback);
            return true;
        }

        private String prometheusText() {
            StringBuilder out = new StringBuilder();
            metrics.getGauges().forEach((name, gauge) -> {
                if (gauge.getValue() instanceof Number number) {
                    appendSample(out, name, "", number);
                }
            });
            for (var counter : metrics.getCounters().entrySet()) {
                appendSample(out, counter.getKey(), "", counter.getValue().getCount());
            }
            for (var meter : metrics.getMeters().entrySet()) {
                appendSample(out, meter.getKey(), "_total", meter.getValue().getCount());
            }
            for (var histogram : metrics.getHistograms().entrySet()) {
                appendSample(
                        out,
                        histogram.getKey(),
                        "_p95",
                        histogram.getValue().getSnapshot().get95thPercentile());
                appendSample(
                        out, histogram.getKey(), "_count", histogram.getValue().getCount());
            }
            for (var timer : metrics.getTimers().entrySet()) {
                double nanos = timer.getValue().getSnapshot().get95thPercentile();
                appendSample(out, timer.getKey(), "_p95_seconds", nanos / TimeUnit.SECONDS.toNanos(1));
                appendSample(out, timer.getKey(), "_count", timer.getValue().getCount());
            }
            return out.toString();
        }

        private static void appendSample(StringBuilder out, String name, String suffix, Number value) {
            out.append("apricotdeal_")
                    .append(name.replaceAll("[^A-Za-z0-9_]", "_"))
                    .append(suffix);
            out.append(' ').append(value).append('\n');
        }
    }
}
