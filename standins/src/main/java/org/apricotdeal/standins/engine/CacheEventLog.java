package org.apricotdeal.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Random;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.kernel.time.Clock;

/** Cache events as an engine publishes them: late, with some lost, and only the newest kept. */
public final class CacheEventLog {
    private static final int CAPACITY = 4_096;

    private final Clock clock;
    private final long lagMillis;
    private final double lossShare;
    private final Random random;
    private final Deque<Event> events = new ArrayDeque<>();
    private long nextSequence = 1;

    /** What happened to a prefix. */
    public enum Kind {
        /** It is in the cache now. */
        STORED,
        /** It has made room for another. */
        EVICTED
    }

    private record Event(long sequence, Kind kind, String prefix, long publishedAtMillis) {}

    /**
     * Creates an empty log.
     *
     * @param clock tells the time
     * @param lagMillis delay until an event is published
     * @param lossShare share of events that are never published, from 0 to 1
     * @param seed seed of the choice of lost events
     */
    public CacheEventLog(Clock clock, long lagMillis, double lossShare, long seed) {
        this.clock = clock;
        this.lagMillis = lagMillis;
        this.lossShare = lossShare;
        this.random = new Random(seed);
    }

    /**
     * Takes an event, which gets the next sequence number whether it will be published or not.
     *
     * @param kind what happened
     * @param prefix the prefix
     */
    public synchronized void add(Kind kind, String prefix) {
        long sequence = nextSequence++;
        if (random.nextDouble() < lossShare) {
            return;
        }
        events.addLast(new Event(sequence, kind, prefix, clock.monotonicMillis() + lagMillis));
        if (events.size() > CAPACITY) {
            events.removeFirst();
        }
    }

    /**
     * Returns the published events after a sequence number.
     *
     * @param after the number
     * @return the events as JSON, see docs/PROTOCOLS.md
     */
    public synchronized ObjectNode json(long after) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode published = json.putArray("events");
        long nowMillis = clock.monotonicMillis();
        for (Event event : events) {
            if (event.publishedAtMillis() > nowMillis) {
                break;
            }
            if (event.sequence() > after) {
                published
                        .addObject()
                        .put("sequence", event.sequence())
                        .put("kind", event.kind().name().toLowerCase(Locale.ROOT))
                        .put("prefix", event.prefix());
            }
        }
        return json;
    }
}
