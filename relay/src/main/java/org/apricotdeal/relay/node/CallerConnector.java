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
    private final LingeringConnections lingering;

    CallerConnector(Server server, HttpConnectionFactory http, LingeringConnections lingering) {
        // A single selector both accepts and reads, because the machine has one processor.
        super(server, 0, 1, http);
        this.lingering = lingering;
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        WatchedEndPoint endPoint = new WatchedEndPoint(channel, selector, key, getScheduler(), lingering);
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }

    @Override
    protected void doStop() throws Exception {
        super.doStop();
        lingering.close();
    }
}
