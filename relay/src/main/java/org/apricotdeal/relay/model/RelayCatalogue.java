package org.apricotdeal.relay.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apricotdeal.kernel.id.UpstreamId;

/** One version of the operator's catalogue: routes, upstreams, customer keys and caller limits. */
public final class RelayCatalogue {
    private final long version;
    private final Map<String, List<RouteEntry>> routesByHost = new HashMap<>();
    private final Map<UpstreamId, UpstreamEntry> upstreams;
    private final Map<String, Customer> customersByKey;
    private final boolean keysRequired;
    private final CallerLimits callerLimits;

    /**
     * Creates a catalogue.
     *
     * @param version version of the catalogue
     * @param routes routes of all hosts
     * @param upstreams upstreams by id
     * @param customersByKey customers by each of their keys; empty if requests need no key
     * @param bounds limits on callers
     */
    public RelayCatalogue(
            long version,
            List<RouteEntry> routes,
            Map<UpstreamId, UpstreamEntry> upstreams,
            Optional<Map<String, Customer>> customersByKey,
            CallerLimits bounds) {
        this.version = version;
        this.upstreams = Map.copyOf(upstreams);
        this.customersByKey = Map.copyOf(customersByKey.orElse(Map.of()));
        this.keysRequired = customersByKey.isPresent();
        this.callerLimits = bounds;
        for (RouteEntry route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<RouteEntry> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Returns the version of the catalogue.
     *
     * @return version, which increases with each catalogue
     */
    public long version() {
        return version;
    }

    /**
     * Returns the names of all routes.
     *
     * @return names of the routes of all hosts
     */
    public Set<String> routeNames() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .map(RouteEntry::name)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the limits on callers.
     *
     * @return limits that apply to all routes
     */
    public CallerLimits callerLimits() {
        return callerLimits;
    }

    /**
     * Returns the upstreams of all routes.
     *
     * @return upstreams by id
     */
    public Map<UpstreamId, UpstreamEntry> upstreams() {
        return upstreams;
    }

    /**
     * Returns whether requests need a key, except on keyless routes.
     *
     * @return true if the catalogue lists customers
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Finds the customer that a key belongs to.
     *
     * @param key key sent with the request
     * @return customer, or empty if the key is unknown
     */
    public Optional<Customer> customer(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Finds the route of a request: the longest path prefix that matches on the host.
     *
     * @param host host named in the request, without a port
     * @param path path of the request
     * @return route, or empty if none matches
     */
    public Optional<RouteEntry> route(String host, String path) {
        for (RouteEntry route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
