package org.apricotdeal.policy.membership;

/** Deliberate faults by which tests check that they catch them; none outside of tests. */
public enum MembershipFault {
    /** Takes what a heartbeat tells for true as of its receipt, however long it was under way. */
    TRUST_RECEIPT_TIME,
    /** Judges the silence of others by a time at which this node was paused itself. */
    IGNORE_OWN_GAP
}
