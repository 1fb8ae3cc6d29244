package org.apricotdeal.node.peer;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.wire.PeerCodec;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable;

/** Receives messages from other nodes. */
public final class PeerHandler extends Handler.Abstract.NonBlocking {
    private final NodeKernel kernel;

    /**
     * Creates a handler.
     *
     * @param kernel delivers the messages to the plug-ins
     */
    public PeerHandler(NodeKernel kernel) {
        this.kernel = kernel;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Content.Source.asByteArrayAsync(
                request,
                PeerCodec.MAX_MESSAGE_BYTES,
                Promise.Invocable.from(Invocable.InvocationType.NON_BLOCKING, (bytes, failure) -> {
                    if (failure != null) {
                        callback.failed(failure);
                    } else {
                        handleMessage(bytes, response, callback);
                    }
                }));
        return true;
    }

    private void handleMessage(byte[] messageBytes, Response response, Callback callback) {
        switch (PeerCodec.decode(messageBytes)) {
            case Result.Err<TPeerMessage, String>(String error) -> {
                response.setStatus(400);
                Content.Sink.write(response, true, error, callback);
            }
            case Result.Ok<TPeerMessage, String>(TPeerMessage message) -> {
                kernel.handlePeer(message);
                response.setStatus(204);
                callback.succeeded();
            }
        }
    }
}
