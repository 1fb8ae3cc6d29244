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

/** One version of the operator's catalogue: routes, upstreams, customers' keys and bounds for callers. */
public final class RelayCatalogue {
    private final long version;
    private final Map<String, List<RouteEntry>> routesByHost = new HashMap<>();
    private final Map<UpstreamId, UpstreamEntry> upstreams;
    private final Map<String, Customer> customersByKey;
    private final boolean keysRequired;
    private final CallerLimits bounds;

    /**
     * Creates a catalogue.
     *
     * @param version its version
     * @param routes the routes
     * @param upstreams the upstreams by id
     * @param customersByKey the customers by each of their keys; nothing where requests need no key
     * @param bounds bounds for callers
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
        this.bounds = bounds;
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
     * Returns the version.
     *
     * @return the version, rising from one catalogue to the next
     */
    public long version() {
        return version;
    }

    /**
     * Returns the names of the routes.
     *
     * @return the names, of all hosts
     */
    public Set<String> routeNames() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .map(RouteEntry::name)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the bounds for callers.
     *
     * @return the bounds
     */
    public CallerLimits bounds() {
        return bounds;
    }

    /**
     * Returns the upstreams.
     *
     * @return the upstreams by id
     */
    public Map<UpstreamId, UpstreamEntry> upstreams() {
        return upstreams;
    }

    /**
     * Tells whether requests on routes that are not open need a key.
     *
     * @return true where the catalogue names customers
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Finds the customer of a key.
     *
     * @param key the key
     * @return the customer, or nothing for an unknown key
     */
    public Optional<Customer> customer(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Finds the route of a request: the longest prefix of its host that begins the path.
     *
     * @param host host named by the request, without a port
     * @param path path of the request
     * @return the route, or nothing where none matches
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
