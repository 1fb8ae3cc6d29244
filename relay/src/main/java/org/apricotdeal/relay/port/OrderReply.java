package org.apricotdeal.relay.port;

/** What came of an order. */
public enum OrderReply {
    /** The VM has begun to carry it out. */
    BEGUN,
    /** The state asked for holds already. */
    HOLDS,
    /** The order does not fit the VM's state, or another order came first. */
    CONFLICT,
    /** The VM has seen a higher number, or the same with other members. */
    OUTDATED,
    /** Another VM has the address. */
    NOT_THIS_VM,
    /** The VM took no note of the order. */
    REFUSED,
    /** No answer: the order may be carried out now, later or never. */
    UNKNOWN
}
