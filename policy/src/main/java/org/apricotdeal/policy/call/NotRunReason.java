package org.apricotdeal.policy.call;

/** Why a call was refused before a byte of it left. */
public enum NotRunReason {
    /** No VM of the service could be connected to. */
    NO_VM,
    /** The deadline passed first. */
    DEADLINE,
    /** The caller left first. */
    CANCELLED
}
