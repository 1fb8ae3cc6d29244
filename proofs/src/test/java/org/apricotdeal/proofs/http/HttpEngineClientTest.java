package org.apricotdeal.proofs.http;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.apricotdeal.engine.CacheEvent;
import org.apricotdeal.engine.CompletionRequest;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.engine.PromptPrefixHashes;
import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.engine.StreamHandle;
import org.apricotdeal.http.HttpEngineClient;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.apricotdeal.standins.engine.ExpectedAnswer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@link HttpEngineClient} against the engine's stand-in. */
public final class HttpEngineClientTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final UpstreamId MODEL = new UpstreamId("quote");
    private static final List<VmId> MEMBERS = List.of(new VmId("q1"), new VmId("q2"));
    private static final String PROMPT = "Clamps for a balcony of 4.2 m";

    private StandinFixture standins;
    private HttpEngineClient engines;

    @BeforeMethod
    public void start() {
        standins = StandinFixture.start("""
                [platform east]
                port = ${platform}

                [defaults quote]
                tokenMillis = 5
                firstTokenMillis = 10
                loadMillis = 20
                maxRunning = 2
                credential = engine-secret
                cacheEventLossShare = 0
                cacheEventLagMillis = 20
                failureDomain = at-east-a

                [vm q1]
                upstream = quote
                port = ${q1}

                [vm q2]
                upstream = quote
                port = ${q2}

                [vm trusting]
                upstream = quote
                port = ${trusting}
                fencing = ignores
                """);
        engines = new HttpEngineClient(standins.client());
    }

    @AfterMethod
    public void stop() {
        standins.close();
    }

    @Test
    public void streamsWholeAnswer() {
        formReplica(1);
        RecordedStream stream = stream(request("r1", 20, List.of()));
        stream.awaitFinished("length");
        assertEquals(stream.text(), ExpectedAnswer.text(PROMPT, 20));
        assertEquals(stream.firstOffset(), 0);
    }

    @Test
    public void resumedStreamGivesTheSameAnswer() {
        formReplica(1);
        List<String> soFar = ExpectedAnswer.to(PROMPT).tokens(7);
        RecordedStream rest = stream(request("r1", 20, soFar));
        rest.awaitFinished("length");
        assertEquals(rest.firstOffset(), 7);
        assertEquals(String.join("", soFar) + rest.text(), ExpectedAnswer.text(PROMPT, 20));
    }

    @Test
    public void resumedAfterItsLastTokenOnlyEnds() {
        formReplica(1);
        RecordedStream rest = stream(request("r1", 5, ExpectedAnswer.to(PROMPT).tokens(5)));
        rest.awaitFinished("length");
        assertEquals(rest.text(), "");
    }

    @Test
    public void tokensOfAnotherAnswerAreRefused() {
        formReplica(1);
        RecordedStream stream = stream(request("r1", 5, List.of(" wrong")));
        assertTrue(stream.awaitFailure() instanceof StreamFailure.NotStarted);
    }

    @Test
    public void refusedConnectionIsNotStarted() {
        RecordedStream stream = new RecordedStream();
        engines.stream(standins.address("nothing"), request("r1", 5, List.of()), stream);
        assertTrue(stream.awaitFailure() instanceof StreamFailure.NotStarted);
    }

    @Test
    public void incompleteReplicaServesNothing() {
        load("q1", 1);
        join("q1", 1);
        RecordedStream stream = stream(request("r1", 5, List.of()));
        StreamFailure failure = stream.awaitFailure();
        assertTrue(failure instanceof StreamFailure.NotStarted, failure.toString());
        assertTrue(failure.detail().contains("503"), failure.toString());
    }

    @Test
    public void lostMemberBreaksStreams() {
        formReplica(1);
        RecordedStream stream = stream(request("r1", 1_000_000, List.of()));
        stream.awaitTokens(3);
        standins.stopVm("q2");
        assertTrue(stream.awaitFailure() instanceof StreamFailure.Broken);
        RecordedStream next = stream(request("r2", 5, List.of()));
        assertTrue(next.awaitFailure() instanceof StreamFailure.NotStarted);
    }

    @Test
    public void restartedMemberIsNotPartOfTheReplica() {
        formReplica(1);
        standins.stopVm("q2");
        standins.startVm("q2");
        StandinFixture.await("the loss being noticed", () -> {
            RecordedStream stream = stream(request("probe", 1, List.of()));
            return stream.awaitEnd() instanceof RecordedStream.Failed;
        });
        assertEquals(state("q2").phase(), EnginePhase.IDLE);
    }

    @Test
    public void cancelledStreamSaysNoMoreAndFreesItsPlace() {
        formReplica(1);
        RecordedStream cancelled = new RecordedStream();
        StreamHandle handle = engines.stream(standins.address("q1"), request("r1", 1_000_000, List.of()), cancelled);
        cancelled.awaitTokens(2);
        StandinFixture.await("the report of the load", () -> state("q1").load().running() == 1);
        handle.cancel();
        StandinFixture.await("the free place", () -> state("q1").load().running() == 0);
        assertTrue(cancelled.isOpen());
    }

    @Test
    public void cancellingOneAttemptLeavesTheOtherOfTheSameRequestAlone() {
        formReplica(1);
        RecordedStream abandoned = new RecordedStream();
        StreamHandle handle = engines.stream(standins.address("q1"), request("r1", 1_000_000, List.of()), abandoned);
        abandoned.awaitTokens(1);
        RecordedStream replacement = stream(request("r1", 100, List.of()));
        replacement.awaitTokens(1);
        handle.cancel();
        replacement.awaitFinished("length");
        assertEquals(replacement.text(), ExpectedAnswer.text(PROMPT, 100));
    }

    @Test
    public void releaseCutsStreams() {
        formReplica(1);
        RecordedStream stream = stream(request("r1", 1_000_000, List.of()));
        stream.awaitTokens(1);
        taken(order("q1", new Order.Release(new VmId("q1"), 2)));
        assertTrue(stream.awaitFailure() instanceof StreamFailure.Broken);
        assertEquals(state("q1").phase(), EnginePhase.IDLE);
    }

    @Test
    public void urgentStreamTakesThePlaceOfAnother() {
        formReplica(1);
        RecordedStream first = stream(request("night-1", 1_000_000, List.of(), 2));
        RecordedStream second = stream(request("night-2", 1_000_000, List.of(), 2));
        first.awaitTokens(1);
        second.awaitTokens(1);
        RecordedStream urgent = stream(request("draft", 3, List.of(), 0));
        urgent.awaitFinished("length");
        first.awaitTokens(first.count() + 5);
        second.awaitTokens(second.count() + 5);
        for (RecordedStream preempted : List.of(first, second)) {
            assertTrue(preempted.isOpen());
            assertTrue(ExpectedAnswer.text(PROMPT, 100_000).startsWith(preempted.text()));
        }
    }

    @Test
    public void silentConnectionSaysNothingWhileNewOnesWork() {
        formReplica(1);
        List<RecordedStream> pooled = List.of(
                stream(request("p1", 3, List.of())),
                stream(request("p2", 3, List.of())),
                stream(request("p3", 3, List.of())),
                stream(request("p4", 3, List.of())));
        pooled.forEach(stream -> stream.awaitFinished("length"));
        RecordedStream silent = new RecordedStream();
        StreamHandle handle = engines.stream(standins.address("q1"), request("r1", 1_000_000, List.of()), silent);
        silent.awaitTokens(1);
        standins.faults("q1", "{\"silent\": true}");
        assertEquals(state("q1").phase(), EnginePhase.JOINED);
        RecordedStream moved = new RecordedStream();
        StreamHandle stuck = engines.stream(standins.address("q1"), request("r1", 4, List.of()), moved);
        awaitSilence();
        stuck.cancel();
        handle.cancel();
        RecordedStream fresh = stream(request("r1", 4, List.of()));
        fresh.awaitFinished("length");
        assertEquals(fresh.text(), ExpectedAnswer.text(PROMPT, 4));
        StandinFixture.await("the silent streams' end", () -> state("q1").load().running() == 0);
        assertTrue(silent.isOpen());
    }

    @Test
    public void cacheEventsTellWhichPrefixesAnEngineHolds() {
        formReplica(1);
        String prompt = "p".repeat(3 * PromptPrefixHashes.BLOCK_CHARS);
        RecordedStream stream = new RecordedStream();
        StreamHandle unused = engines.stream(
                standins.address("q1"),
                new CompletionRequest(new RequestId("r1"), MODEL, prompt, 1, 0, List.of()),
                stream);
        stream.awaitFinished("length");
        StandinFixture.await("the events", () -> cacheEvents(0).size() == 3);
        assertEquals(cacheEvents(0).stream().map(CacheEvent::prefix).toList(), PromptPrefixHashes.of(prompt, 3));
        assertEquals(cacheEvents(2).size(), 1);
    }

    private List<CacheEvent> cacheEvents(long after) {
        return switch (engines.cacheEvents(standins.address("q1"), after, TIMEOUT_MILLIS)
                .join()) {
            case Result.Ok<List<CacheEvent>, String>(List<CacheEvent> events) -> events;
            case Result.Err<List<CacheEvent>, String>(String detail) -> throw new AssertionError(detail);
        };
    }

    @Test
    public void honouredFenceRefusesOldOrder() {
        taken(order("q1", new Order.Load(new VmId("q1"), 7, MODEL)));
        OrderOutcome old = order("q1", new Order.Release(new VmId("q1"), 6));
        assertEquals(old, new OrderOutcome.Fenced(7));
        assertEquals(state("q1").fence(), 7);
    }

    @Test
    public void ignoredFenceTakesOldOrder() {
        taken(order("trusting", new Order.Load(new VmId("trusting"), 7, MODEL)));
        taken(order("trusting", new Order.Release(new VmId("trusting"), 6)));
    }

    @Test
    public void orderIsRefusedWithoutItsCredentialAndBeforeItsWeights() {
        VmId vm = new VmId("q1");
        OrderOutcome unsigned = engines.order(standins.address("q1"), "", new Order.Load(vm, 1, MODEL), TIMEOUT_MILLIS)
                .join();
        assertTrue(unsigned instanceof OrderOutcome.Refused, unsigned.toString());
        OrderOutcome early = order("q1", new Order.Join(vm, 1, MODEL, new ReplicaId("r"), 1, MEMBERS));
        assertTrue(early instanceof OrderOutcome.Refused, early.toString());
        OrderOutcome nowhere = order("nothing", new Order.Load(vm, 1, MODEL));
        assertTrue(nowhere instanceof OrderOutcome.Refused, nowhere.toString());
    }

    @Test
    public void lateOrderIsNoAnswerAndStillTakesEffect() {
        standins.faults("q1", "{\"orderDelayMillis\": 1000}");
        VmId vm = new VmId("q1");
        OrderOutcome outcome = engines.order(standins.address("q1"), "engine-secret", new Order.Load(vm, 3, MODEL), 100)
                .join();
        assertTrue(outcome instanceof OrderOutcome.NoAnswer, outcome.toString());
        StandinFixture.await("the late order", () -> state("q1").fence() == 3);
    }

    /** Waits until the adapter takes a connection without a byte for a silent one. */
    private static void awaitSilence() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(HttpEngineClient.SILENCE_MILLIS + 50));
    }

    private void formReplica(long fence) {
        for (VmId vm : MEMBERS) {
            load(vm.value(), fence);
        }
        for (VmId vm : MEMBERS) {
            join(vm.value(), fence);
        }
        StandinFixture.await("the whole replica", () -> {
            RecordedStream probe = stream(request("probe", 0, List.of()));
            return probe.awaitEnd() instanceof RecordedStream.Finished;
        });
    }

    private void load(String vm, long fence) {
        taken(order(vm, new Order.Load(new VmId(vm), fence, MODEL)));
        StandinFixture.await("the weights", () -> MODEL.equals(state(vm).loadedModel()));
    }

    private void join(String vm, long fence) {
        EngineState joined =
                taken(order(vm, new Order.Join(new VmId(vm), fence, MODEL, new ReplicaId("r"), fence, MEMBERS)));
        assertEquals(joined.phase(), EnginePhase.JOINED);
        assertEquals(joined.members(), MEMBERS);
    }

    private OrderOutcome order(String portName, Order order) {
        return engines.order(standins.address(portName), "engine-secret", order, TIMEOUT_MILLIS)
                .join();
    }

    private static EngineState taken(OrderOutcome outcome) {
        assertTrue(outcome instanceof OrderOutcome.Accepted, outcome.toString());
        return ((OrderOutcome.Accepted) outcome).state();
    }

    private EngineState state(String vm) {
        try {
            return switch (engines.state(standins.address(vm), TIMEOUT_MILLIS).get()) {
                case Result.Ok<EngineState, String>(EngineState state) -> state;
                case Result.Err<EngineState, String>(String detail) -> throw new AssertionError(detail);
            };
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    private RecordedStream stream(CompletionRequest request) {
        RecordedStream stream = new RecordedStream();
        StreamHandle unused = engines.stream(standins.address("q1"), request, stream);
        return stream;
    }

    private static CompletionRequest request(String id, int maxTokens, List<String> generated) {
        return request(id, maxTokens, generated, 0);
    }

    private static CompletionRequest request(String id, int maxTokens, List<String> generated, int priority) {
        return new CompletionRequest(new RequestId(id), MODEL, PROMPT, maxTokens, priority, generated);
    }
}
