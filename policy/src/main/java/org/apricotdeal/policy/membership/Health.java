package org.apricotdeal.policy.membership;

/** Health of a VM or node as observed by its peers, in order of severity. */
public enum Health {
    /** Answered recently. */
    ALIVE,
    /** Silent for longer than {@code PolicyEntry.suspectMillis}. */
    SUSPECT,
    /** Silent for longer than {@code PolicyEntry.failMillis}. */
    FAILED
}
