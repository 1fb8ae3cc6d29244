package org.apricotdeal.proofs.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.apricotdeal.proofs.standins.StandinFixture;
import org.apricotdeal.tool.Tool;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.environment.DefaultEnvironment;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests with the tool, a platform stand-in and a node that an accepted catalogue change comes into force at the node. */
public final class ToolOnNodeTest {
    private static final String STANDINS = """
            [platform platform]
            port = ${platform}
            vmListLagMillis = 0

            [vm node1]
            kind = entry
            port = ${node1}
            failureDomain = fd1
            """;

    /** The exit code of a command and the text that it printed. */
    private record Output(int code, String text) {}

    private static Output run(DefaultEnvironment environment, String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int code = new Tool(new Console(stream, stream), environment).run(List.of(arguments));
        return new Output(code, bytes.toString(StandardCharsets.UTF_8));
    }

    @Test
    public void acceptedChangeComesIntoForceAtTheNode() throws Exception {
        Path file = Files.createTempDirectory("tool-test").resolve("exported.ini");
        try (NodeFixture fixture = NodeFixture.start(STANDINS, 1);
                DefaultEnvironment environment = new DefaultEnvironment()) {
            String platform = "127.0.0.1:" + fixture.standins().port("platform");
            String node = "127.0.0.1:" + fixture.standins().port("node1");
            Output exported = run(environment, "catalogue", "export", "--platform", platform, "--out", file.toString());
            assertEquals(exported.code(), 0, exported.text());
            Files.writeString(file, Files.readString(file).replace("maxInFlight = 200", "maxInFlight = 150"));
            Output applied = run(environment, "catalogue", "apply", file.toString(), "--platform", platform);
            assertEquals(applied.code(), 0, applied.text());
            assertTrue(applied.text().startsWith("accepted: version 2"), applied.text());
            StandinFixture.await(
                    "version 2 is in force",
                    () -> run(environment, "status", "--node", node).text().contains("catalogueVersion=2"));
            assertTrue(run(environment, "callers", "--node", node).text().contains("maxInFlight=150"));
            Output repeated = run(environment, "catalogue", "apply", file.toString(), "--platform", platform);
            assertEquals(repeated.code(), 0, repeated.text());
            Output outdated = run(
                    environment,
                    "catalogue",
                    "apply",
                    "--delete",
                    "caller alpenbau",
                    "--base",
                    "1",
                    "--platform",
                    platform);
            assertEquals(outdated.code(), 75, outdated.text());
            Output timeline = run(environment, "timeline", "--node", node);
            assertEquals(timeline.code(), 0, timeline.text());
            assertTrue(timeline.text().contains("catalogue version 2"), timeline.text());
        }
    }
}
