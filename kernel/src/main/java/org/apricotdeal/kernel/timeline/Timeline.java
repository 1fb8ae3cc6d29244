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
 * A process's bounded ring of events; the oldest event makes room for the newest. Each event is also one log line, since
 * only changes of state are recorded.
 */
public final class Timeline {
    /** Events that a process keeps. */
    public static final int DEFAULT_CAPACITY = 4096;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String process;
    private final HybridClock clock;
    private final int capacity;
    private final Deque<TimelineEvent> events = new ArrayDeque<>();
    private long catalogueVersion;
    private long planVersion;

    /**
     * Creates an empty time line.
     *
     * @param process name of the process
     * @param clock issues the events' times
     * @param capacity number of events to keep
     */
    public Timeline(String process, HybridClock clock, int capacity) {
        this.process = process;
        this.clock = clock;
        this.capacity = capacity;
    }

    /**
     * Notes the catalogue version that later events refer to.
     *
     * @param version the version in force
     */
    public synchronized void catalogueVersion(long version) {
        catalogueVersion = version;
    }

    /**
     * Notes the plan version that later events refer to.
     *
     * @param version the version in force
     */
    public synchronized void planVersion(long version) {
        planVersion = version;
    }

    /**
     * Records an event.
     *
     * @param message what happened
     * @param arguments values for the message's template
     */
    public void record(Message message, Object... arguments) {
        recordText(message, message.format(arguments));
    }

    /**
     * Records an event whose text is filled in.
     *
     * @param message what happened
     * @param text the message's text
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
     * @param after events at or before this time are left out
     * @return the events kept, oldest first
     */
    public synchronized List<TimelineEvent> since(HybridTime after) {
        List<TimelineEvent> found = new ArrayList<>();
        for (TimelineEvent event : events) {
            if (event.time().compareTo(after) > 0) {
                found.add(event);
            }
        }
        return found;
    }
}
