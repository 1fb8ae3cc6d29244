package org.apricotdeal.policy.routing;

/** Health of a target as reported by membership. */
public enum TargetHealth {
    /** Gets new requests. */
    HEALTHY,
    /** Spans fabric domains or is otherwise slow: gets new requests only if no healthy target has a free slot. */
    SLOW,
    /** Gets no new requests; requests in progress continue. */
    LEAVING
}
