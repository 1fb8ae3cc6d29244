package org.apricotdeal.proofs.relay;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.tool.Tool;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.environment.DefaultEnvironment;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the operators' question where a request would go, with a real node. */
public final class RelayExplainTest {
    private static final int USAGE = 64;

    private static String explain(DefaultEnvironment environment, String node, int expectedCode, String... options) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        List<String> arguments = new ArrayList<>(List.of("explain", "--node", node));
        arguments.addAll(List.of(options));
        int code = new Tool(new Console(stream, stream), environment).run(arguments);
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertEquals(code, expectedCode, text);
        return text;
    }

    private static void assertMatches(String text, String pattern) {
        assertTrue(text.lines().anyMatch(line -> line.matches(".*" + pattern + ".*")), text);
    }

    @Test
    public void nodeSaysWhereRequestWouldGoAndWhy() throws Exception {
        try (RelayFleet fleet = new RelayFleet(1, 1);
                RelayFleet.Member node = fleet.addNode("m0", "d0", 1);
                DefaultEnvironment environment = new DefaultEnvironment()) {
            String[] talk = {
                "--host", "h.example", "--path", "/talk/x", "--key", RelayFleet.KEY, "--header", "X-Model: m1"
            };
            assertMatches(explain(environment, node.metricsAddress(), 0, talk), "verdict=reject reason=no catalogue");
            fleet.configure(3, RelayFleet.KEY);
            RelayFleet.await(15, () -> fleet.call(node.callerAddress(), "POST", "/talk/x", "warm", RelayFleet.KEY)
                    .startsWith("HTTP/1.1 200"));
            String sent = explain(environment, node.metricsAddress(), 0, talk);
            assertMatches(
                    sent,
                    "node=m0 catalogueVersion=3 route=talk customer=customer-1 class=1 line=chat/m1 objectiveMillis=500 "
                            + "remainingMillis=6000 verdict=send reason= target=e\\d/\\d+ ");
            assertMatches(sent, "  candidates: target=e\\d/\\d+ failureDomain=a bar=none home=true slots=4 running=0 ");
            assertMatches(
                    explain(environment, node.metricsAddress(), 0, "--host", "h.example", "--path", "/book/x"),
                    "route=book customer= verdict=reject reason=unknown key");
            assertMatches(
                    explain(environment, node.metricsAddress(), 0, "--host", "h.example", "--path", "/none"),
                    "verdict=reject reason=no route");
            assertMatches(
                    explain(environment, node.metricsAddress(), USAGE, "--path", "/talk/x"),
                    "host: missing; give --host");
            assertMatches(
                    explain(environment, node.metricsAddress(), USAGE, "--host", "h.example", "--path", "talk"),
                    "path: found .*talk.*, expected a path that begins with /");
            assertMatches(
                    explain(
                            environment,
                            node.metricsAddress(),
                            USAGE,
                            "--host",
                            "h.example",
                            "--path",
                            "/talk/x",
                            "--header",
                            "X-Model"),
                    "header: found .*X-Model.*, expected NAME: VALUE");
            fleet.store.put("op/evacuate/a", "{}");
            RelayFleet.await(5, () -> explain(environment, node.metricsAddress(), 0, talk)
                    .contains("verdict=refuse reason=evacuated target= "));
            assertMatches(explain(environment, node.metricsAddress(), 0, talk), "  candidates: .* bar=evacuated ");
            String json = explain(environment, node.metricsAddress(), 0, "--json", talk[0], talk[1], talk[2], talk[3]);
            assertTrue(json.contains("\"verdict\""), json);
            String atCallers = fleet.call(
                    node.callerAddress(), "GET", "/admin/explain?host=h.example&path=/talk/x", "s", RelayFleet.KEY);
            assertTrue(atCallers.startsWith("HTTP/1.1 404"), atCallers);
        }
    }
}
