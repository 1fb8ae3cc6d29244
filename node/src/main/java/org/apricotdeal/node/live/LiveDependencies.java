package org.apricotdeal.node.live;

import java.util.concurrent.atomic.AtomicReference;

import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.ServiceClient;
import org.apricotdeal.node.dispatch.DispatchService;
import org.apricotdeal.node.fleet.RouteTable;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.settings.NodeSettings;

/** The node's services that requests in progress use. */
record LiveDependencies(
        NodeKernel kernel,
        DispatchService dispatchService,
        EngineClient engineClient,
        ServiceClient serviceClient,
        Forwarding forwarding,
        AtomicReference<RouteTable> routes) {
    long nowMillis() {
        return kernel.clock().monotonicMillis();
    }

    NodeSettings settings() {
        return kernel.settings();
    }

    RouteTable routeTable() {
        return routes.get();
    }
}
