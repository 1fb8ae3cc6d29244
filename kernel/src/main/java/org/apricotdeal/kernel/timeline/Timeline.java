package org.apricotdeal.kernel.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import com.google.common.flogger.FluentLogger;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.time.HybridClock;
import org.apricotdeal.kernel.time.HybridTime;

/**
 * Bounded buffer of a process's latest events; the newest event replaces the oldest. Only state changes are
 * recorded, so each event is also logged, as one line.
 */
public final class Timeline {
    /** Default number of events that a process keeps. */
    public static final int DEFAULT_CAPACITY = 4096;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String process;
    private final HybridClock clock;
    private final int capacity;
    private final Deque<TimelineEvent> events = new ArrayDeque<>();
    private long catalogueVersion;
    private long planVersion;

    /**
     * Creates an empty timeline.
     *
     * @param process name of the process
     * @param clock source of the events' timestamps
     * @param capacity number of events to keep
     */
    public Timeline(String process, HybridClock clock, int capacity) {
        this.process = process;
        this.clock = clock;
        this.capacity = capacity;
    }

    /**
     * Sets the catalogue version that later events are recorded with.
     *
     * @param version the version in force
     */
    public synchronized void catalogueVersion(long version) {
        catalogueVersion = version;
    }

    /**
     * Sets the plan version that later events are recorded with.
     *
     * @param version the version in force
     */
    public synchronized void planVersion(long version) {
        planVersion = version;
    }

    /**
     * Records an event.
     *
     * @param message kind of event
     * @param arguments values for the message's template
     */
    public void record(Message message, Object... arguments) {
        recordText(message, message.format(arguments));
    }

    /**
     * Records an event whose text is already formatted.
     *
     * @param message kind of event
     * @param text the formatted text
     */
    public synchronized void recordText(Message message, String text) {
        HybridTime time = clock.next();
        events.addLast(new TimelineEvent(time, process, message, text, catalogueVersion, planVersion));
        if (events.size() > capacity) {
            events.removeFirst();
        }
        LOGGER.atInfo().log("AD%d %s", message.code(), text);
    }

    /**
     * Returns the events after a time.
     *
     * @param after exclusive lower bound of the events' times
     * @return the later events that are still kept, oldest first
     */
    public synchronized List<TimelineEvent> since(HybridTime after) {
        List<TimelineEvent> newer = new ArrayList<>();
        for (TimelineEvent event : events) {
            if (event.time().compareTo(after) > 0) {
                newer.add(event);
            }
        }
        return newer;
    }
}
