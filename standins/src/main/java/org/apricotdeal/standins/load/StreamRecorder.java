package org.apricotdeal.standins.load;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.engine.TokenListener;
import org.apricotdeal.standins.engine.ExpectedAnswer;

/** Takes one stream, verifies each token, and measures the time to the first token and between tokens. */
final class StreamRecorder implements TokenListener {
    private final ExpectedAnswer expected;
    private final int maxTokens;
    private final CountDownLatch ended;
    private final Histogram firstTokenMicros = new Histogram(2);
    private final Histogram gapMicros = new Histogram(2);
    private long lastNanos = System.nanoTime();
    private int tokens;
    private String failure = "";

    StreamRecorder(String prompt, int maxTokens, CountDownLatch ended) {
        this.expected = ExpectedAnswer.to(prompt);
        this.maxTokens = maxTokens;
        this.ended = ended;
    }

    @Override
    public void token(int offset, String text) {
        long nowNanos = System.nanoTime();
        Histogram histogram = tokens == 0 ? firstTokenMicros : gapMicros;
        histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(nowNanos - lastNanos));
        lastNanos = nowNanos;
        if (offset != tokens || !text.equals(expected.token(offset))) {
            failure = "token " + offset + " is not the one expected";
        }
        tokens++;
    }

    @Override
    public void finished(String finishReason) {
        if (tokens != maxTokens) {
            failure = "ended after " + tokens + " tokens";
        }
        ended.countDown();
    }

    @Override
    public void failed(StreamFailure streamFailure) {
        failure = streamFailure.detail();
        ended.countDown();
    }

    int tokens() {
        return tokens;
    }

    String failure() {
        return failure;
    }

    void addTo(Histogram allFirstTokenMicros, Histogram allGapMicros) {
        allFirstTokenMicros.add(firstTokenMicros);
        allGapMicros.add(gapMicros);
    }
}
