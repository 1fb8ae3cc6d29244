package org.apricotdeal.proofs.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.apricotdeal.lab.load.LoadCommand;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Sends a small load through one node to stand-ins. During the load a service starts to fail after it has run a part of its
 * calls. Checks that no response is wrong and that no booking runs twice.
 */
public final class LoadThroughNodeTest {
    private static final String STANDINS = """
            [platform platform]
            port = ${platform}
            vmListLagMillis = 0

            [defaults quote]
            failureDomain = fd1
            fabricDomain = fabric1
            accelerators = 8
            tokenMillis = 2
            firstTokenMillis = 5
            loadMillis = 50
            loadReportLagMillis = 20

            [vm node1]
            kind = entry
            port = ${node1}
            failureDomain = fd1

            [vm vm1]
            upstream = quote
            port = ${vm1}

            [vm vm2]
            upstream = quote
            port = ${vm2}

            [vm desk1]
            kind = service
            upstream = desk
            failureDomain = fd1
            port = ${desk1}
            """;

    private static final String LOAD_PLAN = """
            [load]
            name = through-node
            seed = 7
            durationMillis = 2000
            drainMillis = 30000
            nodes = 127.0.0.1:%d
            services = 127.0.0.1:%d

            [completions drafts]
            caller = alpenbau
            key = sample-key-alpenbau
            class = urgent
            upstream = quote
            requestsPerSecond = 30
            inTimeMillis = 760
            deadlineMillis = 20000
            maxTokens = 20

            [bookings surveys]
            caller = alpenbau
            key = sample-key-alpenbau
            class = urgent
            upstream = desk
            requestsPerSecond = 20
            inTimeMillis = 1000
            deadlineMillis = 20000

            [fault desk-dies-after-run]
            atMillis = 700
            address = 127.0.0.1:%d
            body = {"dieAfterRunShare": 0.5}
            """;

    @Test
    public void noAnswerIsWrongAndNoBookingRunsTwice() throws Exception {
        Path directory = Files.createTempDirectory("load-test");
        try (NodeFixture fixture = NodeFixture.start(STANDINS, 1)) {
            fixture.awaitServing(0);
            int deskPort = fixture.standins().port("desk1");
            Path plan = directory.resolve("plan.ini");
            Files.writeString(plan, LOAD_PLAN.formatted(fixture.node(0).callerPort(), deskPort, deskPort));
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
            int exitCode = new LoadCommand(out, out).run(List.of(plan.toString(), "--out", directory.toString()));
            String output = bytes.toString(StandardCharsets.UTF_8);
            assertEquals(exitCode, LoadCommand.EXIT_OK, output);
            assertTrue(output.contains("more than once 0"), output);
            checkTotals(Files.readAllLines(directory.resolve("through-node.csv")), output);
            assertTrue(Files.size(directory.resolve("through-node.png")) > 0);
        }
    }

    /** Checks that the counts of outcomes in columns 2 to 7 add up to the number of requests sent in column 1. */
    private static void checkTotals(List<String> csv, String output) {
        assertEquals(csv.size(), 3, output);
        for (String line : csv.subList(1, csv.size())) {
            String[] cells = line.split(",", -1);
            int sum = 0;
            for (int column = 2; column <= 7; column++) {
                sum += Integer.parseInt(cells[column]);
            }
            assertEquals(sum, Integer.parseInt(cells[1]), line);
            assertEquals(cells[6], "0", line);
            assertTrue(Integer.parseInt(cells[2]) + Integer.parseInt(cells[3]) > 0, line);
        }
    }
}
