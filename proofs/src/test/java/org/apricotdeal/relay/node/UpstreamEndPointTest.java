package org.apricotdeal.relay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/** An answer without a length is whole where its connection ends, and broken off where it is reset. */
public final class UpstreamEndPointTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\n\r\nhalf of it";

    private QueuedThreadPool threads;
    private HttpClient client;

    @BeforeClass
    public void start() {
        threads = RelayClients.threads();
        client = RelayClients.start(threads);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        client.stop();
        threads.stop();
    }

    private ContentResponse answer(boolean reset) throws Exception {
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
                // The client has read the first part by then; a reset would overtake it.
                TimeUnit.MILLISECONDS.sleep(200);
                socket.setSoLinger(reset, 0);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the upstream cannot serve", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a second call to the system for each event of a stream. */
    @Test
    public void readThatLeftRoomIsNotRepeated() throws Exception {
        try (ServerSocketChannel server =
                        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                SocketChannel client = SocketChannel.open(server.getLocalAddress());
                SocketChannel upstream = server.accept()) {
            UpstreamEndPoint endPoint = new UpstreamEndPoint(client, null, null, null);
            write(upstream, "12345678");
            assertEquals(endPoint.fill(BufferUtil.allocate(5)), 5);
            assertEquals(endPoint.fill(BufferUtil.allocate(5)), 3, "a full buffer leaves the rest unread");
            write(upstream, "9");
            assertEquals(endPoint.fill(BufferUtil.allocate(5)), 0, "the selector tells what came after the read");
            assertEquals(endPoint.fill(BufferUtil.allocate(5)), 1);
            upstream.shutdownOutput();
            assertEquals(endPoint.fill(BufferUtil.allocate(5)), 0);
            assertEquals(endPoint.fill(BufferUtil.allocate(5)), -1);
        }
    }

    private static void write(SocketChannel channel, String text) throws IOException {
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    public void endOfTheConnectionEndsTheAnswer() throws Exception {
        assertEquals(answer(false).getContentAsString(), "half of it");
    }

    @Test
    public void resetIsAnError() {
        expectThrows(ExecutionException.class, () -> answer(true));
    }
}
