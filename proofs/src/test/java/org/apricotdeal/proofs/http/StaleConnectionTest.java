package org.apricotdeal.proofs.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final AtomicInteger connections = new AtomicInteger();

    @Test
    public void requestOnAConnectionThatIsBeingClosedIsNotRepeated() throws Exception {
        HttpClient client = HttpClients.start("test-client", TIMEOUT_MILLIS);
        try (ServerSocket socket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> acceptAll(socket));
            HttpServiceClient services = new HttpServiceClient(client);
            String address = "127.0.0.1:" + socket.getLocalPort();
            ServiceOutcome first =
                    services.call(address, request("first"), TIMEOUT_MILLIS).join();
            assertTrue(first instanceof ServiceOutcome.Answered, first.toString());
            assertNotNull(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            ServiceOutcome second =
                    services.call(address, request("second"), TIMEOUT_MILLIS).join();
            assertTrue(second instanceof ServiceOutcome.Unknown, second.toString());
            assertNotNull(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            ServiceOutcome third =
                    services.call(address, request("third"), TIMEOUT_MILLIS).join();
            assertTrue(third instanceof ServiceOutcome.Answered, third.toString());
            String next = received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertNotNull(next);
            assertTrue(next.contains("x-request-id: third"), "after the second request came " + next);
            assertEquals(received.size(), 0);
            assertEquals(connections.get(), 2);
        } finally {
            HttpClients.stop(client);
        }
    }

    private static ServiceRequest request(String id) {
        return new ServiceRequest(new RequestId(id), "POST", "/surveys", Map.of(), new byte[0]);
    }

    private void acceptAll(ServerSocket server) {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(connection));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            received.add(readHead(connection.getInputStream()));
            connection.getOutputStream().write(ANSWER);
            received.add(readHead(connection.getInputStream()));
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
