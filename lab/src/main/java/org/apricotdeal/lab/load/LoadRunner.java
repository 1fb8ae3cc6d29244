package org.apricotdeal.lab.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;

/** Sends the requests of a plan at their times, whatever became of earlier ones. */
public final class LoadRunner {
    private static final long READINESS_MILLIS = 250;
    private static final long PROGRESS_MILLIS = 10_000;
    private static final long DRAIN_STEP_MILLIS = 20;

    private final LoadPlan plan;
    private final boolean isDirect;
    private final HttpClient client;
    private final PrintStream out;
    private final LoadRecorder recorder = new LoadRecorder();
    private final NodePicker picker;
    private final List<LoadFault> faults;
    private long startNanos;
    private long nextReadinessMillis;
    private long nextProgressMillis = PROGRESS_MILLIS;

    /**
     * Creates a run.
     *
     * @param plan the plan
     * @param isDirect true to send straight to the plan's upstreams
     * @param client started client
     * @param out takes a line of progress now and then
     */
    public LoadRunner(LoadPlan plan, boolean isDirect, HttpClient client, PrintStream out) {
        this.plan = plan;
        this.isDirect = isDirect;
        this.client = client;
        this.out = out;
        this.picker = new NodePicker(isDirect ? plan.direct() : plan.nodes(), client);
        this.faults = new ArrayList<>(plan.faults());
        faults.sort(Comparator.comparingLong(LoadFault::atMillis));
    }

    /**
     * Runs the plan and waits for the answers.
     *
     * @return what was counted and timed
     */
    public LoadRecorder run() {
        List<Arrival> arrivals = ArrivalSchedule.of(plan);
        startNanos = System.nanoTime();
        for (Arrival arrival : arrivals) {
            waitUntil(arrival.atMicros());
            long intendedNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(arrival.atMicros());
            new LoadRequest(plan, arrival, intendedNanos, recorder)
                    .send(client.newRequest("http://" + picker.pick()), isDirect);
        }
        waitUntil(TimeUnit.MILLISECONDS.toMicros(plan.durationMillis()));
        drain();
        return recorder;
    }

    private void waitUntil(long atMicros) {
        while (true) {
            houseKeep();
            long waitNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(atMicros) - System.nanoTime();
            if (waitNanos <= 0) {
                return;
            }
            LockSupport.parkNanos(Math.min(waitNanos, TimeUnit.MILLISECONDS.toNanos(DRAIN_STEP_MILLIS)));
        }
    }

    private void drain() {
        long untilMillis = plan.durationMillis() + plan.drainMillis();
        while (recorder.ended() < recorder.sent() && elapsedMillis() < untilMillis) {
            houseKeep();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRAIN_STEP_MILLIS));
        }
    }

    private void houseKeep() {
        long now = elapsedMillis();
        while (!faults.isEmpty() && faults.getFirst().atMillis() <= now) {
            inject(faults.removeFirst());
        }
        if (!isDirect && now >= nextReadinessMillis) {
            nextReadinessMillis = now + READINESS_MILLIS;
            picker.check();
        }
        if (now >= nextProgressMillis) {
            nextProgressMillis = now + PROGRESS_MILLIS;
            out.printf(
                    "%d s: %d sent, %d ended, %d in time, %d not run, %d unknown, %d wrong%n",
                    now / 1_000,
                    recorder.sent(),
                    recorder.ended(),
                    recorder.count(Verdict.IN_TIME),
                    recorder.count(Verdict.NOT_RUN),
                    recorder.count(Verdict.UNKNOWN),
                    recorder.count(Verdict.WRONG));
        }
    }

    private void inject(LoadFault fault) {
        client.newRequest("http://" + fault.address() + "/standin/faults")
                .method("POST")
                .body(new StringRequestContent("application/json", fault.body()))
                .send(result -> {
                    if (result.isFailed() || result.getResponse().getStatus() != 200) {
                        recorder.fault("fault at " + fault.atMillis() + " ms was not taken by " + fault.address());
                    }
                });
        out.printf("%d ms: fault at %s: %s%n", fault.atMillis(), fault.address(), fault.body());
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
