package org.apricotdeal.policy.routing;

/** What membership says of a target. */
public enum TargetHealth {
    /** Takes new work. */
    HEALTHY,
    /** Spans fabric domains or is otherwise known to be slow: takes new work where no other target has room. */
    SLOW,
    /** Gets no new work; requests in progress go on. */
    LEAVING
}
