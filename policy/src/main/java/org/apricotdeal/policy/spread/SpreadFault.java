package org.apricotdeal.policy.spread;

/** Deliberate faults of the spread, so that tests can show that the checks find them. */
public enum SpreadFault {
    /** No fault. */
    NONE,
    /** Adopts whatever arrives last. */
    ADOPT_OLDER,
    /** Never tells peers and never asks them. */
    NO_PEERS,
    /** Applies changes to whatever version is in force, without looking at the digest. */
    IGNORE_DIGEST,
    /** Serves with an empty catalogue where none can be learned. */
    GUESS
}
