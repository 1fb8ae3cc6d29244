package org.apricotdeal.proofs.http;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.engine.ServiceRequest;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.http.HttpServiceClient;
import org.apricotdeal.kernel.id.RequestId;
import org.eclipse.jetty.client.HttpClient;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link HttpServiceClient} against a server that answers the first request of a connection and closes the connection
 * when the second has arrived, as a server does that gives up an idle connection at the same moment.
 */
public final class StaleConnectionTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final AtomicInteger connections = new AtomicInteger();

    @Test
    public void requestOnAConnectionThatIsBeingClosedIsNotRepeated() throws Exception {
        HttpClient client = HttpClients.start("test-client", TIMEOUT_MILLIS);
        try (ScriptedServer server = new ScriptedServer(connection -> {
            connections.incrementAndGet();
            received.add(connection.read().head());
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            received.add(connection.read().head());
        })) {
            HttpServiceClient services = new HttpServiceClient(client);
            ServiceOutcome first = call(services, server, "first");
            assertTrue(first instanceof ServiceOutcome.Answered, first.toString());
            ServiceOutcome second = call(services, server, "second");
            assertTrue(second instanceof ServiceOutcome.Unknown, second.toString());
            ServiceOutcome third = call(services, server, "third");
            assertTrue(third instanceof ServiceOutcome.Answered, third.toString());
            for (String id : new String[] {"first", "second", "third"}) {
                String next = received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                assertNotNull(next, id);
                assertTrue(next.contains("x-request-id: " + id), "instead of " + id + " came " + next);
            }
            assertEquals(received.size(), 0);
            assertEquals(connections.get(), 2);
        } finally {
            HttpClients.stop(client);
        }
    }

    private static ServiceOutcome call(HttpServiceClient services, ScriptedServer server, String id) {
        ServiceRequest request = new ServiceRequest(new RequestId(id), "POST", "/surveys", Map.of(), new byte[0]);
        return services.call(server.address(), request, TIMEOUT_MILLIS).join();
    }
}
