package org.apricotdeal.proofs.node;

import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.apricotdeal.standins.engine.ExpectedAnswer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests requests end to end: from a caller through a node to an upstream and back. */
public final class WholePathTest {
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

            [vm vm3]
            upstream = quote
            port = ${vm3}

            [vm desk1]
            kind = service
            upstream = desk
            failureDomain = fd1
            port = ${desk1}
            """;

    private NodeFixture fixture;

    @BeforeClass
    public void start() throws Exception {
        fixture = NodeFixture.start(STANDINS, 1);
        fixture.awaitServing(0);
    }

    @AfterClass
    public void stop() throws Exception {
        fixture.close();
    }

    @Test
    public void returnsWholeCompletion() throws Exception {
        HttpResponse<String> response = fixture.complete(0, "balcony in the last light", 40, false);
        assertEquals(response.statusCode(), 200, response.body());
        String text = new ObjectMapper()
                .readTree(response.body())
                .path("choices")
                .path(0)
                .path("text")
                .asText();
        assertEquals(text, ExpectedAnswer.text("balcony in the last light", 40));
    }

    @Test
    public void streamsEachTokenOnceInOrder() throws Exception {
        HttpResponse<String> response = fixture.complete(0, "handrail", 25, true);
        assertEquals(response.statusCode(), 200, response.body());
        StringBuilder text = new StringBuilder();
        int offset = 0;
        for (String line : response.body().lines().toList()) {
            if (line.startsWith("data: {")) {
                var event = new ObjectMapper().readTree(line.substring("data: ".length()));
                if (event.has("offset")) {
                    assertEquals(event.path("offset").asInt(), offset++);
                }
                text.append(event.path("choices").path(0).path("text").asText());
            }
        }
        assertEquals(offset, 25);
        assertEquals(text.toString(), ExpectedAnswer.text("handrail", 25));
        assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
    }

    @Test
    public void runsBookingOnceForRepeatedIdempotencyKey() throws Exception {
        String[] headers = {"authorization", "Bearer " + NodeFixture.KEY, "idempotency-key", "booking-1"};
        HttpResponse<String> first = fixture.send(0, "POST", "/services/desk/book", "{\"day\":1}", headers);
        HttpResponse<String> second = fixture.send(0, "POST", "/services/desk/book", "{\"day\":1}", headers);
        assertEquals(first.statusCode(), 200, first.body());
        assertEquals(second.statusCode(), 200, second.body());
        assertEquals(second.body(), first.body());
        assertEquals(second.headers().firstValue("apricotdeal-replayed").orElse(""), "true");
    }

    @Test
    public void rejectsUnknownApiKeyWithOutcomeNotRun() throws Exception {
        HttpResponse<String> response =
                fixture.send(0, "POST", "/v1/completions", "{}", "authorization", "Bearer other");
        assertEquals(response.statusCode(), 401);
        assertEquals(response.headers().firstValue("apricotdeal-outcome").orElse(""), "not-run");
    }

    /**
     * Guards against a node that rejects a request and closes the connection without a {@code Connection: close} header, so
     * that the caller's next request on this connection is lost.
     */
    @Test
    public void rejectionBeforeRequestBodyAnnouncesThatConnectionCloses() throws Exception {
        String head = """
                POST /v1/completions HTTP/1.1
                Host: n
                Authorization: Bearer other
                Content-Length: 2

                """.replace("\n", "\r\n");
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), fixture.node(0).callerPort())) {
            socket.setSoTimeout((int) StandinFixture.PATIENCE_MILLIS);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 401"), answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        }
    }
}
