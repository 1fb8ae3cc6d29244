package org.apricotdeal.proofs.http;

import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.engine.CompletionRequest;
import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.engine.StreamHandle;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.http.HttpEngineClient;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.eclipse.jetty.client.HttpClient;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how {@link HttpEngineClient} takes streams that are cut up, cut short or wrong. */
public final class TokenStreamTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HEAD = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    private static final String DONE = "data: [DONE]\n\n";

    private HttpClient client;

    @BeforeClass
    public void startClient() {
        client = HttpClients.start("test-client", 2_000);
    }

    @AfterClass
    public void stopClient() {
        HttpClients.stop(client);
    }

    @Test
    public void eventsCutAtEveryByteAreWhole() throws Exception {
        RecordedStream stream = run((connection, id) -> connection.writeByteByByte(
                HEAD + ": a comment\r\n\r\n" + event(id, 0, "Geländer") + event(id, 1, " – 4,2 m") + DONE));
        stream.awaitFinished("stop");
        assertEquals(stream.text(), "Geländer – 4,2 m");
    }

    @Test
    public void endWithoutItsMarkIsAFailure() throws Exception {
        RecordedStream stream = run((connection, id) -> connection.write(HEAD + event(id, 0, "a")));
        assertTrue(stream.awaitFailure() instanceof StreamFailure.Broken);
        assertEquals(stream.text(), "a");
    }

    @Test
    public void eventOfAnotherStreamIsAFailure() throws Exception {
        RecordedStream stream =
                run((connection, id) -> connection.write(HEAD + event(id, 0, "a") + event("other", 1, "b") + DONE));
        assertTrue(stream.awaitFailure() instanceof StreamFailure.Broken);
        assertEquals(stream.text(), "a");
    }

    @Test
    public void eventThatIsNoJsonIsAFailure() throws Exception {
        RecordedStream stream = run((connection, id) -> connection.write(HEAD + "data: {\"id\": \n\n" + DONE));
        assertTrue(stream.awaitFailure() instanceof StreamFailure.Broken);
    }

    @Test
    public void connectionClosedWithoutAnAnswerIsBroken() throws Exception {
        RecordedStream stream = run((connection, id) -> {});
        assertTrue(stream.awaitFailure() instanceof StreamFailure.Broken);
    }

    @Test
    public void nothingFollowsTheEndMark() throws Exception {
        RecordedStream stream =
                run((connection, id) -> connection.write(HEAD + event(id, 0, "a") + DONE + event(id, 1, "b")));
        stream.awaitFinished("stop");
        assertEquals(stream.text(), "a");
    }

    /** Answers one stream. */
    private interface Answer {
        void write(ScriptedServer.Connection connection, String id) throws java.io.IOException;
    }

    private RecordedStream run(Answer answer) throws Exception {
        RecordedStream stream = new RecordedStream();
        try (ScriptedServer server = new ScriptedServer(connection -> {
            String body = connection.read().body();
            answer.write(connection, MAPPER.readTree(body).path("request_id").asText());
        })) {
            CompletionRequest request =
                    new CompletionRequest(new RequestId("r1"), new UpstreamId("quote"), "p", 2, 0, List.of());
            StreamHandle unused = new HttpEngineClient(client).stream(server.address(), request, stream);
            stream.awaitEnd();
        }
        return stream;
    }

    private static String event(String id, int offset, String text) {
        return "data: {\"id\": \"" + id + "\", \"choices\": [{\"index\": 0, \"text\": \"" + text
                + "\", \"finish_reason\": null}], \"offset\": " + offset + "}\n\n";
    }
}
