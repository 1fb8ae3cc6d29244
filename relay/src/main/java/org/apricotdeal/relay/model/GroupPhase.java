package org.apricotdeal.relay.model;

/** What a VM says of its membership in a replica; without a new order it only moves on in this order, but for a head
 * that has closed: it is ready again. */
public enum GroupPhase {
    /** Loading weights into memory. */
    JOINING,
    /** Ready to work; a head in this phase does not serve yet. */
    READY,
    /** The head serves. */
    OPEN,
    /** The head finishes what it has and takes nothing new; ready after that. */
    CLOSING,
    /** The replica lost a member and stands still for good. */
    BROKEN
}
