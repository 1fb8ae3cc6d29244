package org.apricotdeal.policy.claims;

/** Counters of a claims journal, updated by all its shards. */
final class MutableClaimCounters {
    long reads;
    long writes;
    long conflicts;
    long unconfirmed;
    long granted;
    long refused;
    long replayed;
    long writtenBytes;

    ClaimCounters snapshot() {
        return new ClaimCounters(reads, writes, conflicts, unconfirmed, granted, refused, replayed, writtenBytes);
    }
}
