package org.apricotdeal.policy.claims;

/** Counters under construction; all shards of a journal share one. */
final class ClaimTally {
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
