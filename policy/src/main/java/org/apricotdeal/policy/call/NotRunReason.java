package org.apricotdeal.policy.call;

/** Reasons for which a call was refused before any byte of it was sent. */
public enum NotRunReason {
    /** No VM of the service was available, or no attempt could connect to one. */
    NO_VM,
    /** The deadline passed before the request was sent. */
    DEADLINE,
    /** The caller disconnected before the request was sent. */
    CANCELLED
}
