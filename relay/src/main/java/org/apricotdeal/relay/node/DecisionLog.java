package org.apricotdeal.relay.node;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.duty.Duty;

/**
 * Writes structured lines of the form {@code event=… key=value …}. Callers never block: lines that exceed the rate limit or
 * the capacity of the ring buffer are dropped and counted.
 */
public final class DecisionLog implements AutoCloseable {
    private static final int RING_SLOTS = 2_048;

    /** Rate above which lines about single requests are dropped. */
    private static final int MAX_LINES_PER_SECOND = 400;

    private static final long TICK_MILLIS = 500;

    private final PrintStream out;
    private final Duty<String> writerDuty;
    private final Meter droppedLines;
    private long secondStartedNanos = System.nanoTime();
    private int linesInSecond;
    private long reportedDrops;

    /**
     * Creates a log.
     *
     * @param out stream to which the lines are written
     * @param metrics registry of the meter of dropped lines
     */
    public DecisionLog(PrintStream out, MetricRegistry metrics) {
        this.out = out;
        this.droppedLines = metrics.meter("log.lines.left.out");
        this.writerDuty = new Duty<>("log", RING_SLOTS, TICK_MILLIS, this::write, this::reportDropped);
    }

    /** Builder of a line. */
    public final class Line {
        private final StringBuilder text = new StringBuilder(160);
        private final boolean limited;

        private Line(String event, boolean limited) {
            this.limited = limited;
            text.append("at=")
                    .append(System.currentTimeMillis())
                    .append(" event=")
                    .append(event);
        }

        /**
         * Adds a field.
         *
         * @param key name of the field
         * @param value value of the field; written in quotes if it contains spaces
         * @return this line
         */
        public Line with(String key, Object value) {
            String valueText = String.valueOf(value);
            text.append(' ').append(key).append('=');
            if (valueText.indexOf(' ') >= 0) {
                text.append('"').append(valueText.replace('"', '\'')).append('"');
            } else {
                text.append(valueText);
            }
            return this;
        }

        /** Queues the line for writing, or drops it if the rate limit is exceeded or the ring buffer is full. */
        public void write() {
            if ((limited && !withinRate()) || !writerDuty.offer(text.toString())) {
                droppedLines.mark();
            }
        }
    }

    /**
     * Starts a line about a single request, which is subject to the rate limit.
     *
     * @param event name of the event
     * @return builder of the line
     */
    public Line request(String event) {
        return new Line(event, true);
    }

    /**
     * Starts a line about the state of the node or of the fleet, which is not subject to the rate limit.
     *
     * @param event name of the event
     * @return builder of the line
     */
    public Line state(String event) {
        return new Line(event, false);
    }

    private synchronized boolean withinRate() {
        long nowNanos = System.nanoTime();
        if (nowNanos - secondStartedNanos >= TimeUnit.SECONDS.toNanos(1)) {
            secondStartedNanos = nowNanos;
            linesInSecond = 0;
        }
        return ++linesInSecond <= MAX_LINES_PER_SECOND;
    }

    private void write(String line) {
        out.println(line);
    }

    private void reportDropped() {
        long count = droppedLines.getCount();
        if (count > reportedDrops) {
            write("at=" + System.currentTimeMillis() + " event=log_left_out lines=" + (count - reportedDrops));
            reportedDrops = count;
        }
    }

    @Override
    public void close() {
        writerDuty.close();
    }
}
