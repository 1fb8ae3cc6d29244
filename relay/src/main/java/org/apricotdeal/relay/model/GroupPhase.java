package org.apricotdeal.relay.model;

/** Phase of a VM in a replica. Without a new order, a VM only advances in the order of these constants. */
public enum GroupPhase {
    /** The VM is loading weights into memory. */
    JOINING,
    /** The VM is ready to work; a head in this phase does not serve yet. */
    READY,
    /** The head serves. */
    OPEN,
    /** The head finishes its running requests and accepts no new ones. */
    CLOSING,
    /** The replica has lost a member and has stopped permanently. */
    BROKEN
}
