package org.apricotdeal.relay.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the node to which a request is handed over that this node cannot send to a VM.
 *
 * <p>Load pattern: all requests of a node that has lost its links to the VMs, for seconds, while other nodes reach them. The
 * requests are spread over the nodes of its failure domain in turn, or over all others if none of these is usable. A node that
 * could not take a request, or refused it, is left out for a while, so that one that is cut off too, or has no room, costs few
 * requests.
 */
public final class PartnerChoice {
    /** Time without a heartbeat after which a node is not chosen; several heartbeat periods. */
    private static final long MAX_SILENCE_MILLIS = 1_000;

    /** Time for which a node is left out that did not serve a request. */
    private static final long AVOID_MILLIS = 1_000;

    private final Map<String, Long> avoidUntilMillis = new HashMap<>();
    private int turn;

    /**
     * A node to which requests can be handed over.
     *
     * @param name name of the node
     * @param address host and port that takes them
     * @param sameDomain whether it is in the failure domain of this node
     * @param lastHeardMillis monotonic time of its last heartbeat
     */
    public record Candidate(String name, String address, boolean sameDomain, long lastHeardMillis) {}

    /**
     * Chooses the node for one request.
     *
     * @param candidates nodes that may reach VMs
     * @param nowMillis monotonic time
     * @return the node; empty if none is usable
     */
    public synchronized Optional<Candidate> choose(List<Candidate> candidates, long nowMillis) {
        avoidUntilMillis.values().removeIf(untilMillis -> nowMillis >= untilMillis);
        List<Candidate> usable = new ArrayList<>();
        for (Candidate candidate : candidates) {
            boolean heard = nowMillis - candidate.lastHeardMillis() < MAX_SILENCE_MILLIS;
            if (heard && !avoidUntilMillis.containsKey(candidate.name())) {
                usable.add(candidate);
            }
        }
        if (usable.stream().anyMatch(Candidate::sameDomain)) {
            usable.removeIf(candidate -> !candidate.sameDomain());
        }
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        usable.sort(Comparator.comparing(Candidate::name));
        turn = Math.floorMod(turn + 1, usable.size());
        return Optional.of(usable.get(turn));
    }

    /**
     * Leaves a node out for a while.
     *
     * @param name node that did not serve a request
     * @param nowMillis monotonic time
     */
    public synchronized void avoid(String name, long nowMillis) {
        avoidUntilMillis.put(name, nowMillis + AVOID_MILLIS);
    }
}
