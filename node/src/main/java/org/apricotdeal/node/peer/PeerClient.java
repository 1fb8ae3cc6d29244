package org.apricotdeal.node.peer;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.wire.PeerCodec;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/** Sends messages to other nodes; a message that gets no answer in time is given up, its sender repeats what it needs. */
public final class PeerClient {
    /** Path of peer messages on the peer port. */
    public static final String PATH = "/peer";

    private final HttpClient client;
    private final Counter sentBytes;
    private final Counter failures;

    /**
     * Creates a client.
     *
     * @param client started HTTP client
     * @param metrics takes the counters
     */
    public PeerClient(HttpClient client, MetricRegistry metrics) {
        this.client = client;
        this.sentBytes = metrics.counter("peer.sent.bytes");
        this.failures = metrics.counter("peer.failures");
    }

    /**
     * Sends a message.
     *
     * @param address host and port of the other node's peer port
     * @param message the message
     * @param timeoutMillis longest time to wait for the answer
     * @param onAnswer takes the answer, nothing where the peer has none to give, or what went wrong; runs on a thread of
     *     the client and must not block
     */
    public void send(
            String address,
            TPeerMessage message,
            long timeoutMillis,
            Consumer<Result<Optional<TPeerMessage>, String>> onAnswer) {
        byte[] bytes = PeerCodec.encode(message);
        sentBytes.inc(bytes.length);
        client.newRequest("http://" + address + PATH)
                .method(HttpMethod.POST)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent("application/vnd.apache.thrift.compact", bytes))
                .send(new AnswerListener(onAnswer));
    }

    /** Collects and decodes the answer. */
    private final class AnswerListener extends BufferingResponseListener {
        private final Consumer<Result<Optional<TPeerMessage>, String>> onAnswer;

        AnswerListener(Consumer<Result<Optional<TPeerMessage>, String>> onAnswer) {
            super(PeerCodec.MAX_MESSAGE_BYTES);
            this.onAnswer = onAnswer;
        }

        @Override
        public void onComplete(org.eclipse.jetty.client.Result result) {
            Result<Optional<TPeerMessage>, String> answer = decode(result);
            if (answer instanceof Result.Err) {
                failures.inc();
            }
            onAnswer.accept(answer);
        }

        private Result<Optional<TPeerMessage>, String> decode(org.eclipse.jetty.client.Result result) {
            if (result.isFailed()) {
                return Result.err(String.valueOf(result.getFailure()));
            }
            if (result.getResponse().getStatus() == 204) {
                return Result.ok(Optional.empty());
            }
            if (result.getResponse().getStatus() != 200) {
                return Result.err("status " + result.getResponse().getStatus());
            }
            return switch (PeerCodec.decode(getContent())) {
                case Result.Ok<TPeerMessage, String>(TPeerMessage message) -> Result.ok(Optional.of(message));
                case Result.Err<TPeerMessage, String>(String detail) -> Result.err(detail);
            };
        }
    }
}
