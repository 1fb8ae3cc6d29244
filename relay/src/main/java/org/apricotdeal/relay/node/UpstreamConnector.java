package org.apricotdeal.relay.node;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/** Opens connections to upstreams, the store and other nodes as {@link UpstreamEndPoint}. */
final class UpstreamConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new UpstreamEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
}
