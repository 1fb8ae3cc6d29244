package org.apricotdeal.relay.model;

import java.util.List;
import java.util.function.DoubleSupplier;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * An upstream and its share of a route's requests.
 *
 * @param upstream destination of the requests
 * @param weight relative weight, 0 or more
 */
public record WeightedUpstream(UpstreamId upstream, double weight) {
    /**
     * Chooses one of several upstreams by their weights.
     *
     * @param upstreams upstreams, at least one
     * @param random returns a random number from 0 to below 1
     * @return the chosen upstream
     */
    public static UpstreamId choose(List<WeightedUpstream> upstreams, DoubleSupplier random) {
        double sum = upstreams.stream().mapToDouble(WeightedUpstream::weight).sum();
        double remaining = sum <= 0 || upstreams.size() == 1 ? 0 : random.getAsDouble() * sum;
        for (WeightedUpstream upstream : upstreams) {
            remaining -= upstream.weight();
            if (remaining < 0) {
                return upstream.upstream();
            }
        }
        return upstreams.getFirst().upstream();
    }
}
