package org.apricotdeal.relay.model;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * An upstream and its share of a route's requests.
 *
 * @param upstream destination of the requests
 * @param weight relative weight, 0 or more
 */
public record WeightedUpstream(UpstreamId upstream, double weight) {}
