package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicReference;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to an upstream on which a TCP reset is an error. Jetty's own end point treats a reset as the end of the
 * input, so a response that is delimited by the end of the connection would look complete after a crash of the VM. Reading
 * is limited for each turn ({@link ReadTurn}) and for each response ({@link FramingLimit}).
 */
final class UpstreamEndPoint extends SocketChannelEndPoint {
    private final ReadTurn turn = new ReadTurn();
    private final AtomicReference<FramingLimit> framingLimit = new AtomicReference<>();

    UpstreamEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Limits the bytes of the response that is read next.
     *
     * @param limit limit of the response
     */
    void startResponse(FramingLimit limit) {
        framingLimit.set(limit);
    }

    /**
     * Ends a limit; has no effect if the connection has been used for another response since.
     *
     * @param limit limit of the response that has ended
     */
    void endResponse(FramingLimit limit) {
        framingLimit.compareAndSet(limit, null);
    }

    @Override
    public Runnable onSelected() {
        turn.start();
        return super.onSelected();
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        if (turn.isOver()) {
            return 0;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
                turn.add(filled);
                FramingLimit limit = framingLimit.get();
                if (limit != null) {
                    limit.addRead(filled);
                }
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
