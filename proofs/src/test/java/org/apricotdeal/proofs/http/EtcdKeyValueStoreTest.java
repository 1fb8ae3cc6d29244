package org.apricotdeal.proofs.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.apricotdeal.http.EtcdKeyValueStore;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.SwapOutcome;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@link EtcdKeyValueStore} against the platform's stand-in. */
public final class EtcdKeyValueStoreTest {
    private static final String KEY = "/apricotdeal/plan/at-east-a";
    private static final long CALL_TIMEOUT_MILLIS = 5_000;

    private StandinFixture standins;
    private EtcdKeyValueStore store;

    @BeforeMethod
    public void start() {
        standins = StandinFixture.start("""
                [platform east]
                port = ${platform}
                extraPorts = ${door}
                """);
        store = store("platform");
    }

    @AfterMethod
    public void stop() {
        standins.close();
    }

    @Test
    public void swapsOnlyOnTheExpectedRevision() {
        long first = swapped(store.compareAndSwap(KEY, 0, bytes("one"), 0));
        assertEquals(conflict(store.compareAndSwap(KEY, 0, bytes("two"), 0)), Optional.of("one"));
        long second = swapped(store.compareAndSwap(KEY, first, bytes("two"), 0));
        assertTrue(second > first);
        assertEquals(conflict(store.compareAndDelete(KEY, first)), Optional.of("two"));
        assertTrue(swapped(store.compareAndDelete(KEY, second)) > second);
        assertEquals(conflict(store.compareAndSwap(KEY, second, bytes("three"), 0)), Optional.empty());
    }

    @Test
    public void listsByPrefix() {
        swapped(store.compareAndSwap("/apricotdeal/nodes/b", 0, bytes("2"), 0));
        swapped(store.compareAndSwap("/apricotdeal/nodes/a", 0, bytes("1"), 0));
        swapped(store.compareAndSwap("/apricotdeal/nodes0", 0, bytes("3"), 0));
        assertEquals(
                ok(store.list("/apricotdeal/nodes/")).stream()
                        .map(VersionedValue::key)
                        .toList(),
                java.util.List.of("/apricotdeal/nodes/a", "/apricotdeal/nodes/b"));
    }

    @Test
    public void lostReplyIsUnknownAndCanBeReadBack() {
        standins.faults("platform", "{\"lostReplyShare\": 1}");
        Result<SwapOutcome, PlatformError> lost = store.compareAndSwap(KEY, 0, bytes("one"), 0);
        assertTrue(error(lost) instanceof PlatformError.Unknown, lost.toString());
        assertEquals(value(), Optional.of("one"));
    }

    @Test
    public void outageIsUnknownAndClosedPortIsNotDone() {
        standins.faults("platform", "{\"away\": true}");
        Result<SwapOutcome, PlatformError> away = store.compareAndSwap(KEY, 0, bytes("one"), 0);
        assertTrue(error(away) instanceof PlatformError.Unknown, away.toString());
        Result<SwapOutcome, PlatformError> closed = store("nothing").compareAndSwap(KEY, 0, bytes("one"), 0);
        assertTrue(error(closed) instanceof PlatformError.NotDone, closed.toString());
        standins.faults("platform", "{\"away\": false}");
        assertEquals(value(), Optional.empty());
    }

    @Test
    public void onePortCanBeAwayAlone() {
        standins.faults("platform", "{\"awayPorts\": [" + standins.port("door") + "]}");
        assertTrue(error(store("door").get(KEY)) instanceof PlatformError.Unknown);
        assertEquals(value(), Optional.empty());
    }

    @Test
    public void answerThatComesTooLateIsUnknown() {
        standins.faults("platform", "{\"slowMillis\": 2000}");
        EtcdKeyValueStore hasty = new EtcdKeyValueStore(standins.client(), standins.address("platform"), 100);
        assertTrue(error(hasty.compareAndSwap(KEY, 0, bytes("late"), 0)) instanceof PlatformError.Unknown);
        standins.faults("platform", "{\"slowMillis\": 0}");
        StandinFixture.await("the late write", () -> value().equals(Optional.of("late")));
    }

    @Test
    public void refusalForTheRateIsNotDone() {
        try (StandinFixture limited = StandinFixture.start("""
                [platform east]
                port = ${platform}
                writesPerSecond = 1
                """)) {
            EtcdKeyValueStore slow =
                    new EtcdKeyValueStore(limited.client(), limited.address("platform"), CALL_TIMEOUT_MILLIS);
            Result<Long, PlatformError> last = slow.grantLease(1_000);
            while (last instanceof Result.Ok<Long, PlatformError>) {
                last = slow.grantLease(1_000);
            }
            assertTrue(error(last) instanceof PlatformError.NotDone, last.toString());
            assertTrue(error(last).detail().contains("429"), last.toString());
        }
    }

    @Test
    public void lapsedLeaseTakesItsKeyWithIt() {
        long lease = ok(store.grantLease(1_000));
        swapped(store.compareAndSwap(KEY, 0, bytes("held"), lease));
        StandinFixture.await("the lease's end", () -> value().isEmpty());
        assertEquals(ok(store.keepAlive(lease)), Long.valueOf(0));
        Result<SwapOutcome, PlatformError> late = store.compareAndSwap(KEY, 0, bytes("held"), lease);
        assertTrue(error(late) instanceof PlatformError.NotDone, late.toString());
    }

    @Test
    public void renewsAndRevokesLease() {
        long lease = ok(store.grantLease(59_500));
        assertEquals(ok(store.keepAlive(lease)), Long.valueOf(60_000));
        swapped(store.compareAndSwap(KEY, 0, bytes("held"), lease));
        assertEquals(ok(store.revokeLease(lease)), Boolean.TRUE);
        assertEquals(value(), Optional.empty());
        assertEquals(ok(store.revokeLease(lease)), Boolean.FALSE);
    }

    @Test
    public void watchReturnsMissedChangeAtOnceAndLaterChangeWhenItComes() throws Exception {
        long first = swapped(store.compareAndSwap(KEY, 0, bytes("one"), 0));
        VersionedValue missed =
                ok(store.awaitChange(KEY, 0, CALL_TIMEOUT_MILLIS)).orElseThrow();
        assertEquals(missed.revision(), first);
        CompletableFuture<VersionedValue> later =
                CompletableFuture.supplyAsync(() -> ok(store.awaitChange(KEY, first, StandinFixture.PATIENCE_MILLIS))
                        .orElseThrow());
        StandinFixture.await(
                "the waiting watch",
                () -> standins.get("platform", "/standin/calls").path("waiting").asInt() > 0);
        long second = swapped(store.compareAndSwap(KEY, first, bytes("two"), 0));
        assertEquals(later.get().revision(), second);
        assertEquals(ok(store.awaitChange(KEY, second, 50)), Optional.empty());
    }

    @Test
    public void outageEndsWatchWithError() throws Exception {
        CompletableFuture<Result<Optional<VersionedValue>, PlatformError>> watch =
                CompletableFuture.supplyAsync(() -> store.awaitChange(KEY, 0, StandinFixture.PATIENCE_MILLIS));
        StandinFixture.await(
                "the waiting watch",
                () -> standins.get("platform", "/standin/calls").path("waiting").asInt() > 0);
        standins.faults("platform", "{\"away\": true}");
        error(watch.get());
    }

    private EtcdKeyValueStore store(String portName) {
        return new EtcdKeyValueStore(standins.client(), standins.address(portName), CALL_TIMEOUT_MILLIS);
    }

    private Optional<String> value() {
        return ok(store.get(KEY)).map(EtcdKeyValueStoreTest::text);
    }

    private static long swapped(Result<SwapOutcome, PlatformError> result) {
        return ((SwapOutcome.Swapped) ok(result)).revision();
    }

    private static Optional<String> conflict(Result<SwapOutcome, PlatformError> result) {
        return ((SwapOutcome.Conflict) ok(result)).current().map(EtcdKeyValueStoreTest::text);
    }

    private static <T> T ok(Result<T, PlatformError> result) {
        return switch (result) {
            case Result.Ok<T, PlatformError>(T value) -> value;
            case Result.Err<T, PlatformError>(PlatformError error) -> throw new AssertionError(error);
        };
    }

    private static <T> PlatformError error(Result<T, PlatformError> result) {
        return switch (result) {
            case Result.Ok<T, PlatformError>(T value) -> throw new AssertionError(value);
            case Result.Err<T, PlatformError>(PlatformError error) -> error;
        };
    }

    private static String text(VersionedValue value) {
        return new String(value.value(), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
