package org.apricotdeal.http;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.platform.VersionedValue;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;

/**
 * One watch of a key, from its request to the first change. Deletions are passed over: they leave no value to return, and
 * whoever waits for one reads the key.
 */
final class WatchCall implements Response.Listener {
    /** What came of the watch. */
    sealed interface Outcome {}

    record Changed(VersionedValue value) implements Outcome {}

    record Unchanged() implements Outcome {}

    /** The service no longer keeps the changes asked for. */
    record Compacted() implements Outcome {}

    /** The watch failed; {@code silent} where the service gave no sign of life. */
    record Failed(String detail, boolean silent) implements Outcome {}

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Request request;
    private final long afterRevision;
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private final LineSplitter lines = new LineSplitter(this::takeLine);
    private volatile boolean created;

    WatchCall(Request request, long afterRevision) {
        this.request = request;
        this.afterRevision = afterRevision;
    }

    Outcome await(long waitMillis) {
        request.send(this);
        try {
            return outcome.get(waitMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return created ? new Unchanged() : new Failed("no answer to the watch in " + waitMillis + " ms", true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Failed("interrupted", false);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            var unused = request.abort(new IllegalStateException("the watch has ended"));
        }
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        if (response.getStatus() == HttpStatus.OK_200) {
            lines.take(content);
        }
    }

    private void takeLine(String line) {
        if (line.isEmpty()) {
            return;
        }
        try {
            take(MAPPER.readTree(line).path("result"));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            outcome.complete(new Failed("not a valid event: " + e.getMessage(), false));
        }
    }

    private void take(JsonNode result) {
        created = true;
        if (result.path("canceled").asBoolean()) {
            outcome.complete(
                    result.path("compact_revision").asLong() > 0
                            ? new Compacted()
                            : new Failed("the service ended the watch", false));
            return;
        }
        VersionedValue newest = null;
        for (JsonNode event : result.path("events")) {
            if (event.path("type").asText("PUT").equals("PUT")) {
                newest = EtcdJson.versioned(event.path("kv"));
            }
        }
        if (newest != null && newest.revision() > afterRevision) {
            outcome.complete(new Changed(newest));
        }
    }

    @Override
    public void onComplete(Result result) {
        if (result.isFailed()) {
            outcome.complete(new Failed(Failures.describe(result.getFailure()), false));
        } else if (result.getResponse().getStatus() != HttpStatus.OK_200) {
            outcome.complete(new Failed("status " + result.getResponse().getStatus(), false));
        } else {
            outcome.complete(new Failed("the service ended the watch", false));
        }
    }
}
