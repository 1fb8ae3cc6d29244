package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to an upstream on which a reset is an error. Jetty's own end point reads a reset as the end of the input, so
 * an answer that has no length and ends with its connection would look complete where the VM crashed.
 *
 * <p>A read that leaves room in the buffer took all that was there. Jetty reads again until nothing is left, so the next call
 * is answered without asking the system; what has come meanwhile is reported by the selector.
 */
final class UpstreamEndPoint extends SocketChannelEndPoint {
    private boolean drained;

    UpstreamEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        if (drained) {
            drained = false;
            return 0;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
                drained = buffer.hasRemaining();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
