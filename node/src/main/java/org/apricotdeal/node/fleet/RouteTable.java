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
 * All targets that requests can go to now.
 *
 * @param routes routes by target
 */
public record RouteTable(Map<TargetId, Route> routes) {
    /** No targets. */
    public static final RouteTable EMPTY = new RouteTable(Map.of());

    /** Copies the routes. */
    public RouteTable {
        routes = java.util.Collections.unmodifiableMap(new TreeMap<>(routes));
    }

    /**
     * Finds a target's route.
     *
     * @param target the target
     * @return its route, or nothing where it takes no requests any more
     */
    public Optional<Route> find(TargetId target) {
        return Optional.ofNullable(routes.get(target));
    }

    /**
     * Finds a VM's route.
     *
     * @param vm the VM
     * @return the route whose requests the VM takes, or nothing
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
     * Returns the routes of an upstream.
     *
     * @param upstream the upstream
     * @return its routes, sorted by target
     */
    public List<Route> of(UpstreamId upstream) {
        List<Route> found = new ArrayList<>();
        for (Route route : routes.values()) {
            if (route.target().upstream().equals(upstream)) {
                found.add(route);
            }
        }
        return found;
    }
}
