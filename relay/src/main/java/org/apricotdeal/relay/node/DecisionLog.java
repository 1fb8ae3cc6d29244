package org.apricotdeal.relay.node;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.duty.Duty;

/**
 * Structured lines on standard output, {@code event=… key=value …}. Writers never wait: lines beyond the rate or the ring
 * are left out and counted.
 */
public final class DecisionLog implements AutoCloseable {
    private static final int RING_SLOTS = 2_048;

    /** Lines a second beyond which lines on single requests are left out. */
    private static final int MAX_LINES_PER_SECOND = 400;

    private static final long TICK_MILLIS = 500;

    private final PrintStream out;
    private final Duty<String> writer;
    private final Meter leftOut;
    private long secondStartedNanos = System.nanoTime();
    private int linesInSecond;
    private long unreported;

    /**
     * Creates a log.
     *
     * @param out where the lines go
     * @param metrics counts the lines left out
     */
    public DecisionLog(PrintStream out, MetricRegistry metrics) {
        this.out = out;
        this.leftOut = metrics.meter("log.lines.left.out");
        this.writer = new Duty<>("log", RING_SLOTS, TICK_MILLIS, this::write, this::reportLeftOut);
    }

    /** A line under construction. */
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
         * @param key its name
         * @param value its value; quoted where it has blanks
         * @return this line
         */
        public Line with(String key, Object value) {
            String shown = String.valueOf(value);
            text.append(' ').append(key).append('=');
            if (shown.indexOf(' ') >= 0) {
                text.append('"').append(shown.replace('"', '\'')).append('"');
            } else {
                text.append(shown);
            }
            return this;
        }

        /** Writes the line, or leaves it out where there is no room. */
        public void write() {
            if ((limited && !withinRate()) || !writer.offer(text.toString())) {
                leftOut.mark();
            }
        }
    }

    /**
     * Begins a line on a single request, which may be left out under load.
     *
     * @param event what was decided
     * @return the line
     */
    public Line request(String event) {
        return new Line(event, true);
    }

    /**
     * Begins a line on a belief of the node or its life.
     *
     * @param event what happened
     * @return the line
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

    private void reportLeftOut() {
        long count = leftOut.getCount();
        if (count > unreported) {
            write("at=" + System.currentTimeMillis() + " event=log_left_out lines=" + (count - unreported));
            unreported = count;
        }
    }

    @Override
    public void close() {
        writer.close();
    }
}
