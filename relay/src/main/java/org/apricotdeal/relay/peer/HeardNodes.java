package org.apricotdeal.relay.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * When each other node was last heard, by this node or by another one.
 *
 * <p>News of a node is relayed by other nodes with its age, which lacks the time for which the news was under way. If the age
 * alone decided, nodes that are late would tell each other of a dead node again and again, each time as if it had been heard
 * later. A heartbeat is therefore known by the time at which the node sent it, and refreshes the node only once.
 *
 * <p>Load pattern: one lookup for each node that a heartbeat names.
 */
public final class HeardNodes {
    /**
     * Time after which the last heartbeat of a node tells nothing of later ones: the node may have started anew with a clock
     * that was set back. Much longer than any node relays a heartbeat.
     */
    private static final long MAX_KNOWN_MILLIS = 10_000;

    private final String self;
    private final Map<String, Heard> heard = new HashMap<>();

    /**
     * Creates a record without any heartbeat.
     *
     * @param self name of this node, which others relay and an earlier start of it may still use; it is left out
     */
    public HeardNodes(String self) {
        this.self = self;
    }

    /**
     * Last heartbeat of a node that this node knows of.
     *
     * @param atMillis when a node received it, on the clock of this node
     * @param sentMillis when it was sent, on the clock of its sender; empty if the sender or a node on the way does not tell
     */
    public record Heard(long atMillis, OptionalLong sentMillis) {
        private boolean isRefreshedBy(Heard later) {
            boolean comparable = sentMillis.isPresent()
                    && later.sentMillis.isPresent()
                    && later.atMillis - atMillis < MAX_KNOWN_MILLIS;
            return comparable ? later.sentMillis.getAsLong() > sentMillis.getAsLong() : later.atMillis > atMillis;
        }

        private Heard refreshedBy(Heard later) {
            return new Heard(
                    Math.max(atMillis, later.atMillis), later.sentMillis.isPresent() ? later.sentMillis : sentMillis);
        }
    }

    /**
     * Records a heartbeat that came from the node itself.
     *
     * @param name name of the node
     * @param heartbeat the heartbeat
     * @return false if a later one is known, or it is this node's own
     */
    public boolean recordDirect(String name, Heard heartbeat) {
        Heard known = heard.get(name);
        if (name.equals(self) || (known != null && heartbeat.atMillis() <= known.atMillis())) {
            return false;
        }
        heard.put(name, heartbeat);
        return true;
    }

    /**
     * Records a heartbeat that another node has received.
     *
     * @param name name of the node that sent it
     * @param heartbeat the heartbeat
     * @return false if it, or a later one, is known, or it is this node's own
     */
    public boolean recordRelayed(String name, Heard heartbeat) {
        Heard known = heard.get(name);
        if (name.equals(self) || (known != null && !known.isRefreshedBy(heartbeat))) {
            return false;
        }
        heard.put(name, known == null ? heartbeat : known.refreshedBy(heartbeat));
        return true;
    }

    /**
     * Returns whether a node was heard recently.
     *
     * @param name name of the node
     * @param withinMillis time for which a node counts as live without being heard
     * @param nowMillis current time
     * @return true if any node has received a heartbeat of it since
     */
    public boolean isHeardWithin(String name, long withinMillis, long nowMillis) {
        Heard last = heard.get(name);
        return last != null && nowMillis - last.atMillis() < withinMillis;
    }

    /**
     * Forgets nodes that have not been heard for long.
     *
     * @param kept tells by name which nodes are kept in any case
     * @param nowMillis current time
     */
    public void forgetSilent(Predicate<String> kept, long nowMillis) {
        heard.keySet().removeIf(name -> !kept.test(name) && !isHeardWithin(name, MAX_KNOWN_MILLIS, nowMillis));
    }

    /**
     * Returns the last heartbeats.
     *
     * @return immutable copy, by name of the node
     */
    public Map<String, Heard> snapshot() {
        return Map.copyOf(heard);
    }
}
