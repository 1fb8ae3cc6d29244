package org.apricotdeal.proofs.relay;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.proofs.http.ScriptedServer;
import org.apricotdeal.relay.policy.ColdBounds;
import org.apricotdeal.tool.Tool;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.environment.DefaultEnvironment;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests what the operators' tool shows of a real node while a failure domain is emptied, a VM is cold or a request is blamed. */
public final class RelayStatusTest {
    private static final int USAGE = 64;
    private static final String WORD = "op/evacuate/a";

    private static String status(DefaultEnvironment environment, RelayFleet.Member node, String... options) {
        return ask(environment, node, 0, "status", options);
    }

    private static String explain(DefaultEnvironment environment, RelayFleet.Member node, int code, String digest) {
        String[] request = {"--host", "h.example", "--path", "/watch/x", "--key", RelayFleet.KEY, "--digest", digest};
        return ask(environment, node, code, "explain", request);
    }

    private static String ask(
            DefaultEnvironment environment,
            RelayFleet.Member node,
            int expectedCode,
            String command,
            String... options) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        List<String> arguments = new ArrayList<>(List.of(command, "--node", node.metricsAddress()));
        arguments.addAll(List.of(options));
        int code = new Tool(new Console(stream, stream), environment).run(arguments);
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertEquals(code, expectedCode, text);
        return text;
    }

    private static void awaitStatus(DefaultEnvironment environment, RelayFleet.Member node, String pattern) {
        RelayFleet.await(
                10, () -> status(environment, node).lines().anyMatch(line -> line.matches(".*" + pattern + ".*")));
    }

    private static String coldConfiguration() {
        String written = RelayFleet.configuration(3, RelayFleet.KEY);
        String changed = written.replace(
                "\"tls\":false}],\n\"limits\"", "\"tls\":false,\"cold-per-s\":10,\"cold-start-s\":3}],\n\"limits\"");
        assertFalse(changed.equals(written), written);
        return changed;
    }

    /** A domain is emptied while an answer of its VMs runs, beside a VM that has returned cold. */
    @Test
    public void statusShowsEvacuationsWhatStillRunsThereAndColdVms() throws Exception {
        try (RelayFleet fleet = new RelayFleet(30, 100);
                RelayFleet.Member node = fleet.addNode("m0", "d0", 1, fleet.store.address(), new ColdBounds(1.5, 5));
                DefaultEnvironment environment = new DefaultEnvironment()) {
            awaitStatus(environment, node, "ready=false reason=no catalogue catalogueVersion=0");
            fleet.store.put("servers/c0", """
                    {"service":"shop","address":"127.0.0.1:1","zone":"b","version":"v1","slots":4,"state":"ready",
                    "cold-remaining-ms":60000,"sequence":1,"born":5}""");
            fleet.store.put("op/config", coldConfiguration());
            RelayFleet.await(15, () -> fleet.call(node.callerAddress(), "POST", "/talk/x", "warm", RelayFleet.KEY)
                    .startsWith("HTTP/1.1 200"));
            awaitStatus(environment, node, "node=m0 failureDomain=d0 ready=true reason= catalogueVersion=3 planner=m0");
            awaitStatus(environment, node, "coldVms: vm=c0 forMillis=\\d+ maxPerSecond=20");
            try (Socket caller = fleet.connect(node.callerAddress())) {
                RelayFleet.send(caller, "POST", "/talk/x", "r", RelayFleet.KEY);
                RelayFleet.readSome(caller.getInputStream());
                fleet.store.put(WORD, "{}");
                awaitStatus(environment, node, "evacuations: failureDomain=a revision=\\d+ .* running=1");
                caller.getInputStream().readAllBytes();
            }
            awaitStatus(environment, node, "evacuations: failureDomain=a .* running=0");
            JsonNode shown = new ObjectMapper()
                    .readTree(status(environment, node, "--json"))
                    .path(node.metricsAddress())
                    .path("evacuations");
            assertEquals(shown.size(), 1);
            assertTrue(shown.path(0).path("forMillis").asLong() > 0, shown.toString());
            assertTrue(shown.path(0).path("since").asText().endsWith("Z"), shown.toString());
            fleet.store.remove(WORD);
            awaitStatus(environment, node, "evacuationsKnown=true evacuationsRevision=\\d+ evacuations= ");
            String atCallers = fleet.call(node.callerAddress(), "GET", "/admin/status", "s", RelayFleet.KEY);
            assertTrue(atCallers.startsWith("HTTP/1.1 404"), atCallers);
        }
    }

    /** A request that is lost with each VM is named by its digest, by which an operator may ask for it. */
    @Test
    public void blamedRequestIsShownAndExplained() throws Exception {
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        PrintStream console = System.out;
        System.setOut(new PrintStream(logged, true, StandardCharsets.UTF_8));
        try (RelayFleet fleet = new RelayFleet(1, 1);
                ScriptedServer vm = new ScriptedServer(connection -> {
                    connection.read();
                    // Losses at the same time would have a common cause.
                    RelayFleet.pause(100);
                });
                RelayFleet.Member node = fleet.addNode("m0", "d0", 1);
                DefaultEnvironment environment = new DefaultEnvironment()) {
            fleet.configure(3, RelayFleet.KEY);
            fleet.store.remove("servers/s0");
            List<String> vms = List.of("x0", "x1", "x2", "x3");
            vms.forEach(id -> fleet.registerService(id, vm, 4));
            awaitStatus(environment, node, "catalogueVersion=3 ");
            String other = "watch#" + "0".repeat(32);
            RelayFleet.await(10, () -> {
                String candidates = explain(environment, node, 0, other);
                return vms.stream().allMatch(id -> candidates.contains(id + "/"));
            });
            String lost = fleet.call(node.callerAddress(), "POST", "/watch/x", "r1", RelayFleet.KEY);
            assertTrue(lost.startsWith("HTTP/1.1 502"), lost);
            String held = fleet.call(node.callerAddress(), "POST", "/watch/x", "r2", RelayFleet.KEY);
            assertTrue(held.startsWith("HTTP/1.1 503") && held.contains("suspect_request"), held);
            String shown =
                    "blamedTraits: served=shop@v1 traits=(watch#[0-9a-f]{32}) lastCrashAgeMillis=\\d+ certain=true "
                            + "trials=0 heldForMillis=[1-9]\\d*";
            awaitStatus(environment, node, shown);
            String digest = status(environment, node).replaceFirst("(?s).*" + shown + ".*", "$1");
            String metrics = fleet.call(node.metricsAddress(), "GET", "/metrics", "m", RelayFleet.KEY);
            assertTrue(metrics.contains("traits_held 1") && metrics.contains("traits_tried 0"), metrics);
            for (String event : List.of("given_up", "refused")) {
                String line = "(?s).* event=" + event + " [^\n]* reason=SUSPECT_REQUEST digest=" + digest + " .*";
                RelayFleet.await(
                        5, () -> logged.toString(StandardCharsets.UTF_8).matches(line));
            }
            assertTrue(explain(environment, node, 0, digest).contains("verdict=refuse reason=suspect_request"));
            String text = explain(environment, node, USAGE, digest + "0");
            assertTrue(text.contains(digest + "0\\\", expected ROUTE#HASH"), text);
            text = explain(environment, node, USAGE, digest.replace("watch#", "book#"));
            assertTrue(text.contains("one of route \\\"book\\\", but the request is of route \\\"watch\\\""), text);
            RelayFleet.await(10, () -> explain(environment, node, 0, other).contains("verdict=send"));
        } finally {
            System.setOut(console);
            console.print(logged.toString(StandardCharsets.UTF_8));
        }
    }
}
