package org.apricotdeal.relay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/** Tests that a response without a length is complete if its connection is closed, and broken if it is reset. */
public final class UpstreamEndPointTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\n\r\nhalf of it";

    private QueuedThreadPool threads;
    private HttpClient client;

    @BeforeClass
    public void start() {
        threads = RelayClients.newThreadPool();
        client = RelayClients.startClient(threads, new UpstreamConnector(new Counter()));
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        client.stop();
        threads.stop();
    }

    private ContentResponse fetch(boolean reset) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread upstream = Thread.ofPlatform().start(() -> serve(server, reset));
            try {
                return client.newRequest("127.0.0.1", server.getLocalPort())
                        .timeout(5, TimeUnit.SECONDS)
                        .send();
            } finally {
                upstream.join();
            }
        }
    }

    private static void serve(ServerSocket server, boolean reset) {
        try (Socket socket = server.accept()) {
            byte[] request = new byte[1_024];
            int read = socket.getInputStream().read(request);
            if (read > 0) {
                socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().flush();
                // Lets the client read the first part, because a reset discards data that has not been read yet.
                TimeUnit.MILLISECONDS.sleep(200);
                socket.setSoLinger(reset, 0);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the simulated upstream failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void connectionCloseEndsResponse() throws Exception {
        assertEquals(fetch(false).getContentAsString(), "half of it");
    }

    @Test
    public void resetIsAnError() {
        expectThrows(ExecutionException.class, () -> fetch(true));
    }
}
