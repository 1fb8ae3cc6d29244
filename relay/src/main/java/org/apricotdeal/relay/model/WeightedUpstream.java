package org.apricotdeal.relay.model;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A part of a route's traffic.
 *
 * @param upstream where the part goes
 * @param weight its weight against the others, 0 or more
 */
public record WeightedUpstream(UpstreamId upstream, double weight) {}
