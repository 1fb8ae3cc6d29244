package org.apricotdeal.relay.peer;

import java.util.Collection;
import java.util.Map;

/**
 * Decides when a node reads the registrations of the other nodes from the store. In a fleet of many small nodes each of these
 * reads would return the same to all of them, again and again, while heartbeats already show that the known nodes are there.
 *
 * <p>Load pattern: a hundred nodes for hours without a change of the fleet, then a part of them lost or started at once.
 */
public final class RegistrationReads {
    /** Time after the start in which nodes that start together register, perhaps without hearing each other yet. */
    private static final long FIRST_READS_MILLIS = 6_000;

    /** Greatest age of the list, for changes that no heartbeat shows. */
    private static final long MAX_AGE_MILLIS = 12_000;

    /** Time without a heartbeat after which a node counts as silent; several heartbeat periods. */
    private static final long SILENT_MILLIS = 2_000;

    private final long startedMillis;
    private long lastReadMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the decision of a node that has read nothing.
     *
     * @param startedMillis start of the node
     */
    public RegistrationReads(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /**
     * Records a successful read.
     *
     * @param nowMillis current time
     */
    public void recordRead(long nowMillis) {
        lastReadMillis = nowMillis;
    }

    /**
     * Returns whether the registrations must be read now: always while the fleet starts and while heartbeats and the list
     * disagree, that is, if a known node is silent, a node is heard that is not known, or no other node is known.
     *
     * @param knownNodes names of the known other nodes
     * @param heard last heartbeat of each other node, received by any node
     * @param nowMillis current time
     * @return true if the list may have changed
     */
    public boolean isDue(Collection<String> knownNodes, Map<String, HeardNodes.Heard> heard, long nowMillis) {
        if (nowMillis - startedMillis < FIRST_READS_MILLIS || nowMillis - lastReadMillis >= MAX_AGE_MILLIS) {
            return true;
        }
        long heardKnown = knownNodes.stream()
                .filter(name -> isHeard(heard.get(name), nowMillis))
                .count();
        long heardNodes = heard.values().stream()
                .filter(heartbeat -> isHeard(heartbeat, nowMillis))
                .count();
        return knownNodes.isEmpty() || heardKnown < knownNodes.size() || heardNodes > heardKnown;
    }

    private static boolean isHeard(HeardNodes.Heard heartbeat, long nowMillis) {
        return heartbeat != null && nowMillis - heartbeat.atMillis() < SILENT_MILLIS;
    }
}
