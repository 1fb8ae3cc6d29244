package org.apricotdeal.relay.node;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** Accepts connections of callers as {@link WatchedEndPoint}, which detects that the caller disconnects. */
final class CallerConnector extends ServerConnector {
    CallerConnector(Server server, HttpConnectionFactory http) {
        // A single selector both accepts and reads, because the machine has one processor.
        super(server, 0, 1, http);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        WatchedEndPoint endPoint = new WatchedEndPoint(channel, selector, key, getScheduler());
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
