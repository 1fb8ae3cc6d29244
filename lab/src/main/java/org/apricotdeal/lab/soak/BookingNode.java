package org.apricotdeal.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.lab.sim.SimService;
import org.apricotdeal.policy.call.CallAction;
import org.apricotdeal.policy.call.CallEvent;
import org.apricotdeal.policy.call.CallPolicy;
import org.apricotdeal.policy.call.RetryPermit;
import org.apricotdeal.policy.call.ServiceCallMachine;
import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.claims.ClaimAnswer;
import org.apricotdeal.policy.claims.ClaimCounters;
import org.apricotdeal.policy.claims.ClaimEvent;
import org.apricotdeal.policy.claims.ClaimJournal;

/**
 * One node of a run with bookings: the claims journal and the machines of its calls, joined as the node binary joins
 * them. It can be killed at any step and starts again knowing nothing.
 */
final class BookingNode {
    private static final CallerId CALLER = new CallerId("guild");
    private static final UpstreamId UPSTREAM = new UpstreamId("order-desk");
    private static final int MAX_ATTEMPTS = 3;
    private static final long PAUSE_CHECK_MILLIS = 20;

    private final String name;
    private final BookingWorld world;
    private final List<SimService> services;
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private ClaimJournal journal;
    private int incarnation;
    private long lastRequest;

    /** One request in progress. */
    private static final class Call {
        private final String requestId;
        private final BookingRequest request;
        private final Consumer<BookingAnswer> onAnswer;
        private final Map<Integer, String> answers = new HashMap<>();
        private ServiceCallMachine machine;
        private boolean answered;

        Call(String requestId, BookingRequest request, Consumer<BookingAnswer> onAnswer) {
            this.requestId = requestId;
            this.request = request;
            this.onAnswer = onAnswer;
        }
    }

    BookingNode(String name, BookingWorld world, List<SimService> services) {
        this.name = name;
        this.world = world;
        this.services = services;
        boot();
    }

    String name() {
        return name;
    }

    ClaimCounters counters() {
        return journal.counters();
    }

    private void boot() {
        incarnation++;
        calls.clear();
        long seed = world.scheduler().random().nextLong();
        journal = new ClaimJournal(
                world.settings(),
                name + "." + incarnation,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                world.claimFault());
        world.network().stopped(name, false);
        world.network().paused(name, false);
        tickLater(incarnation);
    }

    void kill(long downMillis) {
        if (world.network().isStopped(name)) {
            return;
        }
        world.trace().add("", name + " is killed for " + downMillis + " ms");
        incarnation++;
        world.network().stopped(name, true);
        world.scheduler().after(downMillis, this::boot);
    }

    private void dieOrPause() {
        if (world.diesNow()) {
            kill(world.scheduler().random().nextLong(3_000));
        }
        long pauseMillis = world.pausesForMillis();
        if (pauseMillis > 0) {
            world.trace().add("", name + " pauses for " + pauseMillis + " ms");
            world.network().paused(name, true);
            world.scheduler().after(pauseMillis, () -> world.network().paused(name, false));
        }
    }

    /** Runs a task of this incarnation as soon as the node is not paused. */
    private void later(long delayMillis, Runnable task) {
        int of = incarnation;
        world.scheduler().after(delayMillis, () -> runNow(of, task));
    }

    private void runNow(int of, Runnable task) {
        if (of != incarnation) {
            return;
        }
        if (world.network().isPaused(name)) {
            world.scheduler().after(PAUSE_CHECK_MILLIS, () -> runNow(of, task));
            return;
        }
        task.run();
    }

    private void tickLater(int of) {
        world.scheduler()
                .after(
                        20,
                        () -> runNow(of, () -> {
                            tellJournal(new ClaimEvent.Tick());
                            tickCalls();
                            tickLater(of);
                        }));
    }

    private void tickCalls() {
        for (Call call : List.copyOf(calls.values())) {
            if (call.machine != null && !call.machine.isEnded()) {
                tellCall(call, new CallEvent.Tick());
            }
        }
    }

    void receive(BookingRequest request, Consumer<BookingAnswer> onAnswer) {
        String requestId = name + "." + incarnation + "." + ++lastRequest;
        world.trace().add(request.subject(), requestId + " is received, payload " + request.payload());
        world.checks().received(requestId, request, now());
        Call call = new Call(requestId, request, onAnswer);
        calls.put(requestId, call);
        long receivedAtMillis = now();
        later(world.ringDelayMillis(), () -> begin(call, receivedAtMillis));
    }

    private void begin(Call call, long receivedAtMillis) {
        BookingRequest request = call.request;
        if (request.key() == null) {
            startCall(call);
            return;
        }
        tellJournal(new ClaimEvent.Request(
                new RequestId(call.requestId),
                UPSTREAM,
                CALLER,
                request.key(),
                request.payload(),
                world.retentionMillis(),
                BookingWorld.CALL_TIMEOUT_MILLIS,
                receivedAtMillis));
    }

    private long now() {
        return world.scheduler().monotonicMillis();
    }

    private void tellJournal(ClaimEvent event) {
        int of = incarnation;
        for (ClaimAction action : journal.step(now(), event)) {
            dieOrPause();
            runNow(of, () -> carryOut(action));
        }
    }

    private void carryOut(ClaimAction action) {
        int of = incarnation;
        switch (action) {
            case ClaimAction.Store(var storeCall) ->
                world.store()
                        .call(name, storeCall, reply -> runNow(of, () -> tellJournal(new ClaimEvent.Reply(reply))));
            case ClaimAction.Granted granted -> {
                world.trace().add(subject(granted.requestId()), granted + "");
                later(world.scheduler().random().nextLong(4), () -> dispatch(granted));
            }
            case ClaimAction.Refused(RequestId id, var reason, long retryAfterMillis) -> {
                BookingAnswer answer = reason.isNotRun()
                        ? new BookingAnswer.NotRun(reason.name())
                        : new BookingAnswer.Unknown(reason.name());
                answer(id.value(), answer);
            }
            case ClaimAction.Replay(RequestId id, ClaimAnswer recorded) ->
                answer(
                        id.value(),
                        new BookingAnswer.Answered(new String(recorded.body(), StandardCharsets.UTF_8), true));
        }
    }

    private String subject(RequestId id) {
        return calls.get(id.value()).request.subject();
    }

    private void dispatch(ClaimAction.Granted granted) {
        Call call = calls.get(granted.requestId().value());
        if (now() > granted.dispatchByMillis()) {
            answer(call.requestId, new BookingAnswer.NotRun("dispatch is late"));
            tellJournal(new ClaimEvent.NotRun(granted.requestId()));
            return;
        }
        startCall(call);
    }

    private void startCall(Call call) {
        CallPolicy policy = new CallPolicy(
                call.request.repeatable(),
                now() + BookingWorld.CALL_TIMEOUT_MILLIS,
                BookingWorld.CALL_TIMEOUT_MILLIS / 3,
                MAX_ATTEMPTS);
        call.machine = new ServiceCallMachine(policy, this::selectVm, RetryPermit.UNLIMITED, world.callFault());
        tellCall(call, new CallEvent.Start());
    }

    private Optional<VmId> selectVm(Set<VmId> tried) {
        List<VmId> left = services.stream()
                .map(service -> new VmId(service.name()))
                .filter(vm -> !tried.contains(vm))
                .toList();
        return left.isEmpty()
                ? Optional.empty()
                : Optional.of(left.get(world.scheduler().random().nextInt(left.size())));
    }

    private void tellCall(Call call, CallEvent event) {
        int of = incarnation;
        for (CallAction action : call.machine.step(now(), event)) {
            dieOrPause();
            runNow(of, () -> carryOut(call, action));
        }
    }

    private void carryOut(Call call, CallAction action) {
        RequestId id = new RequestId(call.requestId);
        boolean keyed = call.request.key() != null;
        switch (action) {
            case CallAction.Send(int attempt, VmId vm) -> send(call, attempt, vm);
            case CallAction.Answer(int attempt) -> {
                String body = call.answers.get(attempt);
                answer(call.requestId, new BookingAnswer.Answered(body, false));
                if (keyed) {
                    tellJournal(new ClaimEvent.Completed(
                            id, new ClaimAnswer(200, "text/plain", body.getBytes(StandardCharsets.UTF_8))));
                }
            }
            case CallAction.RefuseNotRun(var reason) -> {
                answer(call.requestId, new BookingAnswer.NotRun(reason.name()));
                if (keyed) {
                    tellJournal(new ClaimEvent.NotRun(id));
                }
            }
            case CallAction.OutcomeUnknown unknown -> {
                answer(call.requestId, new BookingAnswer.Unknown("call"));
                if (keyed) {
                    tellJournal(new ClaimEvent.OutcomeUnknown(id));
                }
            }
        }
    }

    private void send(Call call, int attempt, VmId vm) {
        world.trace().add(call.request.subject(), call.requestId + " is sent to " + vm + ", attempt " + attempt);
        int of = incarnation;
        SimService.Execution request =
                new SimService.Execution(call.requestId, call.request.subject(), call.request.payload());
        services.stream()
                .filter(service -> service.name().equals(vm.value()))
                .findFirst()
                .orElseThrow()
                .send(name, request, outcome -> runNow(of, () -> outcome(call, attempt, outcome)));
    }

    private void outcome(Call call, int attempt, SimService.Outcome outcome) {
        call.answers.put(attempt, outcome.body());
        CallEvent event =
                switch (outcome.kind()) {
                    case ANSWERED -> new CallEvent.Answered(attempt);
                    case NOT_SENT -> new CallEvent.NotSent(attempt);
                    case UNKNOWN -> new CallEvent.Unknown(attempt);
                };
        tellCall(call, event);
    }

    private void answer(String requestId, BookingAnswer answer) {
        Call call = calls.get(requestId);
        if (call.answered) {
            world.lateAnswer(requestId, answer);
            return;
        }
        call.answered = true;
        world.trace().add(call.request.subject(), requestId + " is answered " + answer);
        world.checks().answered(requestId, call.request, answer);
        call.onAnswer.accept(answer);
    }
}
