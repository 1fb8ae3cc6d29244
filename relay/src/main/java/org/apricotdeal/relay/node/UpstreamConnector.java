package org.apricotdeal.relay.node;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;

import com.codahale.metrics.Counter;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/** Opens connections to upstreams, the store and other nodes as {@link UpstreamEndPoint}. */
final class UpstreamConnector extends ClientConnector {
    private final Counter opened;
    private volatile ManagedSelector lastSelector;

    /**
     * Creates a connector.
     *
     * @param opened counts the connections
     */
    UpstreamConnector(Counter opened) {
        this.opened = opened;
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        lastSelector = selector;
        opened.inc();
        return new UpstreamEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    /**
     * Sets the time within which a connection that is opened from now on has to be open.
     *
     * @param millis time in milliseconds
     */
    void setConnectTimeoutMillis(long millis) {
        setConnectTimeout(Duration.ofMillis(millis));
    }

    /**
     * Runs a task on the selector thread; at once if no connection has been opened yet.
     *
     * @param task task that does not block
     */
    void runOnSelector(Runnable task) {
        ManagedSelector selector = lastSelector;
        if (selector == null) {
            task.run();
        } else {
            selector.submit(unused -> task.run());
        }
    }
}
