package org.apricotdeal.node.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.policy.routing.TargetId;

/**
 * The routes to all targets that accept requests now.
 *
 * @param routes the route to each target
 */
public record RouteTable(Map<TargetId, Route> routes) {
    /** A table without routes. */
    public static final RouteTable EMPTY = new RouteTable(Map.of());

    /** Copies the routes. */
    public RouteTable {
        routes = java.util.Collections.unmodifiableMap(new TreeMap<>(routes));
    }

    /**
     * Finds the route to a target.
     *
     * @param target id of the target
     * @return the route, or empty if the target accepts no requests now
     */
    public Optional<Route> find(TargetId target) {
        return Optional.ofNullable(routes.get(target));
    }

    /**
     * Finds the route whose requests are sent to a VM.
     *
     * @param vm id of the VM
     * @return the route, or empty if no requests are sent to the VM
     */
    public Optional<Route> find(VmId vm) {
        for (Route route : routes.values()) {
            if (route.vm().equals(vm)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the routes to all targets of an upstream.
     *
     * @param upstream id of the upstream
     * @return the routes, sorted by target
     */
    public List<Route> routesTo(UpstreamId upstream) {
        List<Route> upstreamRoutes = new ArrayList<>();
        for (Route route : routes.values()) {
            if (route.target().upstream().equals(upstream)) {
                upstreamRoutes.add(route);
            }
        }
        return upstreamRoutes;
    }
}
