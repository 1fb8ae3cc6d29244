package org.apricotdeal.relay.policy;

/**
 * A VM that tolerates only a limited rate of requests while it is cold.
 *
 * @param untilMillis monotonic time until which it is cold; in the past if it is not
 * @param maxPerSecond maximum number of requests that all nodes together may send to it in any second until then
 */
public record ColdVm(long untilMillis, int maxPerSecond) {}
