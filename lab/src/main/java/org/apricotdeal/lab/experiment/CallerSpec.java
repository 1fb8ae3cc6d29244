package org.apricotdeal.lab.experiment;

import org.apricotdeal.kernel.id.CallerId;

/**
 * One caller's part of the load.
 *
 * @param id the caller
 * @param loadShare its part of every stream, in proportion to the other callers' parts
 * @param large whether it counts as a large caller in the results
 */
public record CallerSpec(CallerId id, double loadShare, boolean large) {}
