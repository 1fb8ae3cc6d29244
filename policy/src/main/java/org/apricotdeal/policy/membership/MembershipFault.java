package org.apricotdeal.policy.membership;

/** Faults that tests inject to check that they are detected; never used in production. */
public enum MembershipFault {
    /** Treats the contents of a heartbeat as observed at its receipt, regardless of its delay. */
    TRUST_RECEIPT_TIME,
    /** Counts time in which this node itself was paused as silence of others. */
    IGNORE_OWN_GAP
}
