package org.apricotdeal.lab.load;

import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.apricotdeal.http.LineSplitter;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpStatus;

/** One request on its way: sends it, takes the answer piece by piece and judges it at the end. */
final class LoadRequest {
    private static final String OUTCOME_HEADER = "apricotdeal-outcome";
    private static final String NOT_RUN = "not-run";
    private static final int MAX_BODY_BYTES = 1_048_576;

    private final LoadPlan plan;
    private final Arrival arrival;
    private final long intendedNanos;
    private final LoadRecorder recorder;
    private final AnswerVerifier verifier;
    private final LineSplitter lines;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final List<Long> gapsMicros = new ArrayList<>();
    private long firstTokenMicros = -1;
    private long lastTokenNanos;

    LoadRequest(LoadPlan plan, Arrival arrival, long intendedNanos, LoadRecorder recorder) {
        this.plan = plan;
        this.arrival = arrival;
        this.intendedNanos = intendedNanos;
        this.recorder = recorder;
        this.verifier = switch (arrival.work()) {
            case Work.Completions work -> new AnswerVerifier(RequestBody.prompt(plan, arrival, work), work.maxTokens());
            case Work.Bookings work -> new AnswerVerifier("", 0);
        };
        this.lines = new LineSplitter(this::takeLine);
    }

    /** Sends the request; the recorder takes what comes of it. */
    void send(Request request, boolean isDirect) {
        Work.Common common = arrival.work().common();
        request.method("POST")
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .timeout(common.deadlineMillis() + plan.drainMillis(), TimeUnit.MILLISECONDS)
                .headers(headers -> {
                    headers.put("authorization", "Bearer " + common.key());
                    headers.put("apricotdeal-class", common.className());
                    headers.put("apricotdeal-deadline-ms", Long.toString(common.deadlineMillis()));
                });
        switch (arrival.work()) {
            case Work.Completions work ->
                request.path("/v1/completions")
                        .body(json(RequestBody.completion(plan, arrival, work, isDirect)
                                .toString()));
            case Work.Bookings work ->
                request.path(isDirect ? work.path() : "/services/" + common.upstream() + work.path())
                        .headers(headers -> headers.put("idempotency-key", RequestBody.bookingKey(plan, arrival)))
                        .body(json(RequestBody.booking(plan, arrival).toString()));
        }
        recorder.sent(arrival.work());
        request.onResponseContent(this::takeContent).send(this::complete);
    }

    private static StringRequestContent json(String text) {
        return new StringRequestContent("application/json", text, StandardCharsets.UTF_8);
    }

    private void takeContent(Response response, ByteBuffer content) {
        boolean isStream = arrival.work() instanceof Work.Completions && response.getStatus() == HttpStatus.OK_200;
        if (isStream) {
            lines.take(content);
            return;
        }
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        if (body.size() + bytes.length <= MAX_BODY_BYTES) {
            body.writeBytes(bytes);
        }
    }

    private void takeLine(String line) {
        if (!verifier.take(line)) {
            return;
        }
        long now = System.nanoTime();
        if (firstTokenMicros < 0) {
            firstTokenMicros = TimeUnit.NANOSECONDS.toMicros(now - intendedNanos);
        } else {
            gapsMicros.add(TimeUnit.NANOSECONDS.toMicros(now - lastTokenNanos));
        }
        lastTokenNanos = now;
    }

    private void complete(Result result) {
        long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - intendedNanos);
        recorder.ended(arrival, judge(result, micros), micros, firstTokenMicros, gapsMicros);
    }

    private Verdict judge(Result result, long micros) {
        if (verifier.fault().isPresent()) {
            recorder.fault(
                    "request " + arrival.number() + ": " + verifier.fault().get());
            return Verdict.WRONG;
        }
        if (result.isFailed()) {
            boolean isUnsent = result.getFailure() instanceof ConnectException;
            return isUnsent ? Verdict.NOT_RUN : Verdict.UNKNOWN;
        }
        Response response = result.getResponse();
        if (response.getStatus() != HttpStatus.OK_200) {
            return NOT_RUN.equals(response.getHeaders().get(OUTCOME_HEADER)) ? notRun() : Verdict.UNKNOWN;
        }
        return switch (arrival.work()) {
            case Work.Completions work -> judgeStream(work);
            case Work.Bookings work -> judgeBooking(work, micros);
        };
    }

    private Verdict notRun() {
        if (verifier.tokens() > 0) {
            recorder.fault("request " + arrival.number() + ": not-run after " + verifier.tokens() + " tokens");
            return Verdict.WRONG;
        }
        return Verdict.NOT_RUN;
    }

    private Verdict judgeStream(Work.Completions work) {
        if (verifier.isWhole()) {
            return inTime(work, firstTokenMicros);
        }
        return verifier.failedOutcome().equals(NOT_RUN) ? notRun() : Verdict.UNKNOWN;
    }

    private Verdict judgeBooking(Work.Bookings work, long micros) {
        String text = body.toString(StandardCharsets.UTF_8);
        if (!text.contains(RequestBody.bookingKey(plan, arrival) + "\\\"")) {
            recorder.fault("request " + arrival.number() + ": answer of another booking: " + text);
            return Verdict.WRONG;
        }
        return inTime(work, micros);
    }

    private static Verdict inTime(Work work, long micros) {
        return micros <= TimeUnit.MILLISECONDS.toMicros(work.common().inTimeMillis()) ? Verdict.IN_TIME : Verdict.LATE;
    }
}
