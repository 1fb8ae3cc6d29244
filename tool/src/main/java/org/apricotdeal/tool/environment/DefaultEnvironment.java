package org.apricotdeal.tool.environment;

import java.io.IOException;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.http.EtcdKeyValueStore;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.platform.KeyValueStore;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;

/** Reaches the platform and the nodes over HTTP; the client starts with the first call. */
public final class DefaultEnvironment implements Environment, AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 3_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private HttpClient client;

    @Override
    public KeyValueStore store(String address) {
        return new EtcdKeyValueStore(client(), address, CALL_TIMEOUT_MILLIS);
    }

    @Override
    public Result<JsonNode, String> askNode(String address, String path) {
        try {
            ContentResponse answer = client().newRequest("http://" + address + path)
                    .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .send();
            return answer.getStatus() == 200
                    ? Result.ok(JSON.readTree(answer.getContent()))
                    : Result.err(("status " + answer.getStatus() + " " + answer.getContentAsString()).trim());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Result.err("interrupted");
        } catch (ExecutionException | TimeoutException | IOException | IllegalArgumentException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }

    @Override
    public Clock clock() {
        return new SystemClock();
    }

    @Override
    public String newChangeId() {
        return UUID.randomUUID().toString();
    }

    @Override
    public void close() {
        if (client != null) {
            HttpClients.stop(client);
        }
    }

    private HttpClient client() {
        if (client == null) {
            client = HttpClients.start("apricotdeal-tool", CONNECT_TIMEOUT_MILLIS);
        }
        return client;
    }
}
