package org.apricotdeal.proofs.standins;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.engine.ServiceRequest;
import org.apricotdeal.http.HttpEngineClient;
import org.apricotdeal.http.HttpServiceClient;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.standins.StandinFleet;
import org.apricotdeal.standins.StandinsCommand;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests {@link StandinFleet}: its VMs' faults, the weight store, and which stand-ins a process hosts. */
public final class StandinFleetTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final UpstreamId MODEL = new UpstreamId("quote");
    private static final String INI = """
            [platform east]
            port = ${platform}
            weightStoreConcurrentLoads = 1

            [defaults quote]
            failureDomain = at-east-a
            loadMillis = 100

            [vm q1]
            upstream = quote
            port = ${q1}

            [vm q2]
            upstream = quote
            port = ${q2}

            [vm elsewhere]
            upstream = quote
            port = ${elsewhere}
            hosted = false

            [vm office-1]
            kind = service
            upstream = office
            port = ${office}
            failureDomain = at-east-a
            """;

    private StandinFixture standins;
    private HttpEngineClient engines;

    @BeforeMethod
    public void start() {
        standins = StandinFixture.start(INI);
        engines = new HttpEngineClient(standins.client());
    }

    @AfterMethod
    public void stop() {
        standins.close();
    }

    @Test
    public void loadsThatTheWeightStorePutsOffComeLater() {
        load("q1");
        load("q2");
        StandinFixture.await("both loads", () -> loaded("q1") + loaded("q2") == 2);
    }

    @Test
    public void restartedVmHasForgottenAll() {
        load("q1");
        StandinFixture.await("the weights", () -> loaded("q1") == 1);
        EngineState before = state("q1");
        standins.post("q1", "/standin/restart", "{\"downMillis\": 50}");
        StandinFixture.await(
                "the new engine",
                () -> engines.state(standins.address("q1"), TIMEOUT_MILLIS).join()
                                instanceof Result.Ok<EngineState, String>(EngineState after)
                        && !after.bootId().equals(before.bootId()));
        EngineState after = state("q1");
        assertNotEquals(after.bootId(), before.bootId());
        assertEquals(after.phase(), EnginePhase.IDLE);
        assertEquals(after.loadedModel(), null);
        assertEquals(after.fence(), 0);
    }

    @Test
    public void pausedVmAnswersWhenItGoesOn() {
        standins.faults("q1", "{\"pausedMillis\": 3000}");
        assertTrue(engines.state(standins.address("q1"), 100).join() instanceof Result.Err<EngineState, String>);
        assertEquals(state("q1").phase(), EnginePhase.IDLE);
    }

    @Test
    public void unknownFaultIsRefused() {
        HttpServiceClient client = new HttpServiceClient(standins.client());
        ServiceRequest request = new ServiceRequest(
                new RequestId("r1"),
                "POST",
                "/standin/faults",
                Map.of("content-type", "application/json"),
                "{\"sleepy\": 1}".getBytes(StandardCharsets.UTF_8));
        ServiceOutcome outcome =
                client.call(standins.address("q1"), request, TIMEOUT_MILLIS).join();
        assertEquals(((ServiceOutcome.Answered) outcome).status(), 400);
    }

    @Test
    public void namesChooseWhatAProcessHosts() {
        assertTrue(
                engines.state(standins.address("elsewhere"), TIMEOUT_MILLIS).join()
                        instanceof Result.Err<EngineState, String>);
        Findings findings = new Findings();
        String ini = INI.replace("${elsewhere}", Integer.toString(standins.port("elsewhere")))
                .replaceAll("\\$\\{(platform)}", Integer.toString(standins.port("platform")))
                .replace("${q1}", "1")
                .replace("${q2}", "2")
                .replace("${office}", "3");
        try (StandinFleet fleet = StandinFleet.start(
                        IniFile.parse("shared.ini", ini, findings), Set.of("elsewhere"), findings)
                .orElseThrow(() -> new AssertionError(findings.toString()))) {
            assertEquals(state("elsewhere").vm(), new VmId("elsewhere"));
            assertThrows(IllegalArgumentException.class, () -> fleet.stopVm(new VmId("q1")));
        }
    }

    @Test
    public void commandReportsWhatIsWrong() throws IOException {
        assertEquals(run(List.of()).code(), StandinsCommand.EXIT_USAGE);
        assertEquals(run(List.of("file", "--sometimes")).code(), StandinsCommand.EXIT_USAGE);
        Path file = Files.createTempFile("standins", ".ini");
        try {
            Files.writeString(file, "[vm q1]\nport = 70000\n");
            Run invalid = run(List.of(file.toString()));
            assertEquals(invalid.code(), StandinsCommand.EXIT_SETTINGS);
            assertTrue(invalid.err().contains(":2: vm q1/port"), invalid.err());
            assertTrue(invalid.err().contains("vm q1/upstream"), invalid.err());
            Files.writeString(file, "[platform east]\nport = " + standins.port("platform") + "\n");
            assertEquals(run(List.of(file.toString())).code(), StandinsCommand.EXIT_UNAVAILABLE);
        } finally {
            Files.delete(file);
        }
    }

    private record Run(int code, String err) {}

    private static Run run(List<String> arguments) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
        int code = new StandinsCommand(new PrintStream(new ByteArrayOutputStream()), errStream).run(arguments);
        return new Run(code, err.toString(StandardCharsets.UTF_8));
    }

    private void load(String vm) {
        OrderOutcome outcome = engines.order(
                        standins.address(vm), "", new Order.Load(new VmId(vm), 1, MODEL), TIMEOUT_MILLIS)
                .join();
        assertTrue(outcome instanceof OrderOutcome.Accepted, outcome.toString());
    }

    private int loaded(String vm) {
        return MODEL.equals(state(vm).loadedModel()) ? 1 : 0;
    }

    private EngineState state(String vm) {
        return switch (engines.state(standins.address(vm), TIMEOUT_MILLIS).join()) {
            case Result.Ok<EngineState, String>(EngineState state) -> state;
            case Result.Err<EngineState, String>(String detail) -> throw new AssertionError(detail);
        };
    }
}
