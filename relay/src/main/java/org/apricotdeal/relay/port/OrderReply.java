package org.apricotdeal.relay.port;

/** Outcome of an order. */
public enum OrderReply {
    /** The VM has started to execute the order. */
    BEGUN,
    /** The VM is already in the requested state. */
    HOLDS,
    /** The order is not valid in the VM's state, or another order arrived first. */
    CONFLICT,
    /** The VM has seen a higher epoch of the replica, or the same epoch with different members. */
    OUTDATED,
    /** A different VM now has the address. */
    NOT_THIS_VM,
    /** The VM rejected the order, which has no effect. */
    REFUSED,
    /** No response: the order may be executed now, later or never. */
    UNKNOWN
}
