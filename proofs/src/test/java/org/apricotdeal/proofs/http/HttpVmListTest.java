package org.apricotdeal.proofs.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.http.HttpVmList;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@link HttpVmList} against the platform's stand-in. */
public final class HttpVmListTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private StandinFixture standins;
    private HttpVmList list;

    @BeforeMethod
    public void start() {
        standins = StandinFixture.start("""
                [platform east]
                port = ${platform}
                vmListLagMillis = 300

                [defaults quote]
                hosted = false
                failureDomain = at-east-a
                fabricDomain = at-east-a-1

                [vm q1]
                upstream = quote
                port = ${q1}
                accelerators = 4

                [vm spare]
                upstream = quote
                port = ${spare}
                state = absent

                [vm entry-1]
                kind = entry
                port = ${entry}
                failureDomain = at-east-b
                """);
        list = new HttpVmList(standins.client(), standins.address("platform"), TIMEOUT_MILLIS);
    }

    @AfterMethod
    public void stop() {
        standins.close();
    }

    @Test
    public void readsEveryField() {
        Vm q1 = read().stream()
                .filter(vm -> vm.id().value().equals("q1"))
                .findAny()
                .orElseThrow();
        assertEquals(q1.failureDomain().value(), "at-east-a");
        assertEquals(q1.fabricDomain().value(), "at-east-a-1");
        assertEquals(q1.upstream().value(), "quote");
        assertEquals(q1.address(), standins.address("q1"));
        assertEquals(q1.accelerators(), 4);
        assertEquals(states(), Map.of("q1", VmState.LIVE, "entry-1", VmState.LIVE));
    }

    /** Each state that the list shows is recorded; the lag means that the first one read is still the old one. */
    @Test
    public void changesShowLateAndInOrder() {
        List<Map<String, VmState>> seen = new ArrayList<>();
        seen.add(states());
        standins.post("platform", "/standin/vms/q1/state", "{\"state\": \"leaving\"}");
        standins.post("platform", "/standin/vms/q1/state", "{\"state\": \"gone\"}");
        standins.post("platform", "/standin/vms/spare/state", "{\"state\": \"live\"}");
        StandinFixture.await("the last change", () -> {
            Map<String, VmState> now = states();
            if (!now.equals(seen.getLast())) {
                seen.add(now);
            }
            return now.equals(Map.of("spare", VmState.LIVE, "entry-1", VmState.LIVE));
        });
        assertEquals(seen.getFirst(), Map.of("q1", VmState.LIVE, "entry-1", VmState.LIVE));
        assertTrue(seen.size() >= 2, seen.toString());
    }

    @Test
    public void outageIsAnError() {
        standins.faults("platform", "{\"away\": true}");
        assertTrue(list.read() instanceof Result.Err<List<Vm>, PlatformError>);
    }

    private List<Vm> read() {
        return switch (list.read()) {
            case Result.Ok<List<Vm>, PlatformError>(List<Vm> vms) -> vms;
            case Result.Err<List<Vm>, PlatformError>(PlatformError error) -> throw new AssertionError(error);
        };
    }

    private Map<String, VmState> states() {
        Map<String, VmState> states = new TreeMap<>();
        read().forEach(vm -> states.put(vm.id().value(), vm.state()));
        return states;
    }
}
