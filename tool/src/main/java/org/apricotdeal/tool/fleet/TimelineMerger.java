package org.apricotdeal.tool.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Merges the time lines of several processes into one. Events go by their hybrid times, which put an event after every
 * event that it can have learned of; events of equal time have not influenced each other and go by process. An event that
 * was read twice, through two addresses of one node, appears once.
 */
public final class TimelineMerger {
    private static final Comparator<MergedEvent> ORDER = Comparator.comparing(MergedEvent::time)
            .thenComparing(MergedEvent::process)
            .thenComparing(MergedEvent::code)
            .thenComparing(MergedEvent::text);

    private TimelineMerger() {}

    /**
     * Merges time lines.
     *
     * @param lines the processes' events
     * @return all events in order
     */
    public static List<MergedEvent> merge(Collection<List<MergedEvent>> lines) {
        return lines.stream().flatMap(List::stream).distinct().sorted(ORDER).toList();
    }
}
