package org.apricotdeal.lab.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.SimService;

/** What must hold over all nodes, callers and VMs of a run with bookings, at any moment of it. */
final class BookingChecks {
    private final long retentionMillis;
    private final Map<String, Received> received = new HashMap<>();
    private final Map<String, Ran> firstRun = new HashMap<>();
    private final Map<String, String> executed = new HashMap<>();
    private final Set<String> refusedNotRun = new HashSet<>();
    private String lastSubject = "";
    private int executions;
    private int answers;
    private int replays;
    private int notRun;
    private int unknown;

    private record Received(String subject, long atMillis, boolean repeatable) {}

    private record Ran(String requestId, long receivedAtMillis) {}

    BookingChecks(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    void received(String requestId, BookingRequest request, long nowMillis) {
        received.put(requestId, new Received(request.subject(), nowMillis, request.repeatable()));
    }

    void executed(SimService.Execution execution) {
        executions++;
        lastSubject = execution.subject();
        String requestId = execution.requestId();
        Invariants.check(
                !refusedNotRun.contains(requestId),
                "not-run-never-runs",
                () -> "request " + requestId + " ran after it was refused as not run");
        Received request = received.get(requestId);
        executed.put(requestId, execution.subject());
        if (request.repeatable()) {
            return;
        }
        Ran first = firstRun.get(execution.subject());
        boolean tooEarly = first != null && request.atMillis() < first.receivedAtMillis() + retentionMillis;
        Invariants.check(
                !tooEarly,
                "booking-at-most-once",
                () -> execution.subject() + " ran for " + first.requestId() + " and again for " + requestId);
        firstRun.put(execution.subject(), new Ran(requestId, request.atMillis()));
    }

    void answered(String requestId, BookingRequest request, BookingAnswer answer) {
        lastSubject = request.subject();
        switch (answer) {
            case BookingAnswer.Answered(String body, boolean replayed) -> {
                answers++;
                replays += replayed ? 1 : 0;
                String expected = request.subject() + "|" + request.payload() + "|";
                Invariants.check(
                        body.startsWith(expected),
                        "answer-belongs",
                        () -> "request " + requestId + " for " + expected + " was answered " + body);
            }
            case BookingAnswer.NotRun(String reason) -> {
                notRun++;
                refusedNotRun.add(requestId);
                Invariants.check(
                        !executed.containsKey(requestId),
                        "not-run-never-runs",
                        () -> "request " + requestId + " was refused as not run (" + reason + ") but had run");
            }
            case BookingAnswer.Unknown(String reason) -> unknown++;
        }
    }

    String lastSubject() {
        return lastSubject;
    }

    int executions() {
        return executions;
    }

    int answers() {
        return answers;
    }

    @Override
    public String toString() {
        return received.size() + " requests received, " + executions + " executions, " + answers + " answers, "
                + replays + " of them replayed, " + notRun + " not run, " + unknown + " unknown";
    }
}
