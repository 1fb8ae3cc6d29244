package org.apricotdeal.policy.spread;

/** Faults injected into {@link CatalogueSpread} to test that the checks detect them. */
public enum SpreadFault {
    /** No fault. */
    NONE,
    /** Adopts every received catalogue, even an older one. */
    ADOPT_OLDER,
    /** Neither announces versions to peers nor requests catalogues from them. */
    NO_PEERS,
    /** Applies updates to the current version without checking the base version and the digest. */
    IGNORE_DIGEST,
    /** Adopts an empty catalogue if none can be obtained. */
    GUESS
}
