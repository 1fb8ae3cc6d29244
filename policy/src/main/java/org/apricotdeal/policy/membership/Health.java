package org.apricotdeal.policy.membership;

/** What is known of a VM's or node's health; by order of severity. */
public enum Health {
    /** Answered lately. */
    ALIVE,
    /** Silent for longer than {@code PolicyEntry.suspectMillis}. */
    SUSPECT,
    /** Silent for longer than {@code PolicyEntry.failMillis}. */
    FAILED
}
