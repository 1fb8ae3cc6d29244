package org.apricotdeal.node.peer;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import org.apricotdeal.kernel.time.HybridTime;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.wire.PeerCodec;
import org.apricotdeal.wire.gen.THybridTime;
import org.apricotdeal.wire.gen.TPeerBody;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/** Sends messages to other nodes. A message can be lost and isn't retried here: its sender repeats what is still needed. */
public final class PeerClient {
    /** Path of messages between nodes on the peer port. */
    public static final String PATH = "/peer";

    private static final long TIMEOUT_MILLIS = 2_000;

    private final NodeKernel kernel;
    private final Counter sentBytes;
    private final Counter sentMessages;
    private final Counter sendFailures;

    /**
     * Creates a client.
     *
     * @param kernel provides the HTTP client, clock, metrics and settings
     */
    public PeerClient(NodeKernel kernel) {
        this.kernel = kernel;
        this.sentBytes = kernel.metrics().counter("peer.sent.bytes");
        this.sentMessages = kernel.metrics().counter("peer.sent.messages");
        this.sendFailures = kernel.metrics().counter("peer.failures");
    }

    /**
     * Sends a message without waiting for the response. Failures are only counted.
     *
     * @param address host and port of the other node's peer port
     * @param body the message's body
     */
    public void send(String address, TPeerBody body) {
        HybridTime time = kernel.hybridClock().next();
        TPeerMessage message = new TPeerMessage(
                kernel.settings().node().id().value(),
                kernel.settings().node().failureDomain().value(),
                new THybridTime(time.wallMillis(), time.counter()),
                body);
        byte[] bytes = PeerCodec.encode(message);
        sentBytes.inc(bytes.length);
        sentMessages.inc();
        kernel.httpClient()
                .newRequest("http://" + address + PATH)
                .method(HttpMethod.POST)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent("application/vnd.apache.thrift.compact", bytes))
                .send(result -> {
                    if (result.isFailed() || result.getResponse().getStatus() != 204) {
                        sendFailures.inc();
                    }
                });
    }
}
