package org.apricotdeal.relay.policy;

/**
 * The part of a target's free slots that a node may use in a heartbeat round, in which it does not hear of the requests that
 * other nodes send.
 *
 * <p>Load pattern: more requests wait at the nodes than slots become free. In a large fleet the nodes' counts of each other's
 * requests are about two rounds old, so nodes see the same free slot in two rounds; while most slots are occupied, each uses
 * half of its part in a round. Otherwise requests queue at the targets, start late, and could not be refused in time.
 *
 * @param part part of the free slots, above 0 and at most 1
 * @param extraRequests number of requests beyond the free slots that all nodes together may send in a round
 * @param scarceFactor factor of the part while fewer than half of the slots are free
 * @param atLeastOne whether the node may send at least one request while half of the slots are free
 */
record SlotShare(double part, double extraRequests, double scarceFactor, boolean atLeastOne) {
    /** The queue of an engine holds a few requests beyond its slots. */
    private static final double EXTRA_REQUESTS = 1.5;

    /** The inverse of the age of the peers' counts in rounds. */
    private static final double SCARCE_FACTOR = 0.5;

    /** Returns the share of a node in a small fleet, in which all nodes use all targets alike. */
    static SlotShare amongAll(int nodes) {
        return new SlotShare(1.0 / nodes, EXTRA_REQUESTS, 1, true);
    }

    /** Returns the share of one of the few nodes that send most of the requests of a target. */
    static SlotShare ofHomeNode(double part) {
        return new SlotShare(part, 0, SCARCE_FACTOR, true);
    }

    /** Returns the share of a node that sends to a target when its home targets are full. */
    static SlotShare ofOtherNode(double part) {
        return new SlotShare(part, 0, SCARCE_FACTOR, false);
    }

    /** Returns whether no other node sends to the target. */
    boolean isWhole() {
        return part >= 1;
    }

    /**
     * Returns the number of requests that the node may send in a round. A fractional remainder is rounded up at random, with
     * the probability of its size.
     *
     * @param freeSlots number of free slots at the start of the round
     * @param slots number of slots of the target
     * @param onlyChoice whether this node is a home node of no target that serves the same requests
     * @param draw random number from 0 to 1
     * @return number of requests
     */
    int requestsInRound(int freeSlots, int slots, boolean onlyChoice, double draw) {
        if (freeSlots == 0) {
            return 0;
        }
        boolean scarce = 2 * freeSlots < slots;
        double requests = (freeSlots + extraRequests) * part * (scarce ? scarceFactor : 1);
        if (!scarce && (atLeastOne || onlyChoice)) {
            requests = Math.max(1, requests);
        }
        return Math.min((int) Math.ceil(freeSlots * part), (int) Math.floor(requests + draw));
    }
}
