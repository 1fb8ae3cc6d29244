package org.apricotdeal.relay.policy;

/**
 * The part of a target's free slots that a node may use in a heartbeat round, in which it does not hear of the requests that
 * other nodes send.
 *
 * <p>Load pattern: more requests wait at the nodes than slots become free. Requests that exceed the slots queue at the
 * targets, start late, and cannot be refused any more. In a large fleet the parts of all nodes add up to one, and are scaled
 * by {@link ShareScale} while fewer than half of the slots of a target are free.
 *
 * @param part part of the free slots, above 0 and at most 1
 * @param extraRequests number of requests beyond the free slots that all nodes together may send in a round
 * @param scaled whether the part is scaled while slots are scarce
 * @param atLeastOne whether the node may send at least one request while half of the slots are free
 */
record SlotShare(double part, double extraRequests, boolean scaled, boolean atLeastOne) {
    /** The queue of an engine holds a few requests beyond its slots. */
    private static final double EXTRA_REQUESTS = 1.5;

    /** Returns the share of one of a number of nodes that use a target alike; they may exceed the slots a little. */
    static SlotShare amongAll(int nodes) {
        return new SlotShare(1.0 / nodes, EXTRA_REQUESTS, false, true);
    }

    /** Returns the share of one of the few nodes that send most of the requests of a target. */
    static SlotShare ofHomeNode(double part) {
        return new SlotShare(part, 0, true, true);
    }

    /** Returns the share of a node that sends to a target when its home targets are full. */
    static SlotShare ofOtherNode(double part) {
        return new SlotShare(part, 0, true, false);
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
     * @param scale factor of the part while slots are scarce
     * @param draw random number from 0 to 1
     * @return number of requests
     */
    int requestsInRound(int freeSlots, int slots, boolean onlyChoice, double scale, double draw) {
        if (freeSlots == 0) {
            return 0;
        }
        boolean scarce = 2 * freeSlots < slots;
        double scaledPart = scaled && scarce ? Math.min(1, part * scale) : part;
        double requests = (freeSlots + extraRequests) * scaledPart;
        if (!scarce && (atLeastOne || onlyChoice)) {
            requests = Math.max(1, requests);
        }
        return Math.min((int) Math.ceil(freeSlots * scaledPart), (int) Math.floor(requests + draw));
    }
}
