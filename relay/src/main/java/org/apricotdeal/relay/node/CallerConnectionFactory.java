package org.apricotdeal.relay.node;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/** Creates a {@link CallerConnection} for each connection of a caller. */
final class CallerConnectionFactory extends HttpConnectionFactory {
    private final CallerResources resources;

    CallerConnectionFactory(HttpConfiguration configuration, CallerResources resources) {
        super(configuration);
        this.resources = resources;
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(
                new CallerConnection(getHttpConfiguration(), connector, endPoint, resources), connector, endPoint);
    }
}
