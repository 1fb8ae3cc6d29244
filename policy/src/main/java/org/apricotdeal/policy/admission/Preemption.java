package org.apricotdeal.policy.admission;

/**
 * Chooses the stream that is paused for a more urgent request.
 *
 * <p>The most recently started stream is paused, because it has the fewest tokens to prefill again when it resumes. A stream
 * is paused at most {@value #MAX_PREEMPTIONS} times, so that it completes even if urgent requests keep arriving.
 */
final class Preemption {
    private static final int MAX_PREEMPTIONS = 3;
    private static final double OVERDUE_SHARE = 0.125;

    private Preemption() {}

    /** Returns true if the next request of a class has waited long enough, as a share of its target, to preempt a stream. */
    static boolean isOverdue(ClassState waiting, long nowMillis) {
        RequestState head = waiting.queue.next().waiting.peekFirst();
        double overdueAfterMillis = OVERDUE_SHARE * head.classEntry.firstTokenTargetMillis();
        return nowMillis - head.arrivedMillis >= overdueAfterMillis;
    }

    /** Returns the stream to pause, or null if there is none. */
    static RequestState victim(UpstreamState upstream, ClassState waiting) {
        ClassState victimClass = ClassScheduler.victim(upstream.classes, waiting, upstream.slots());
        if (victimClass == null) {
            return null;
        }
        RequestState mostRecent = null;
        for (RequestState request : victimClass.running) {
            if (request.arrival.resumable() && request.preemptions < MAX_PREEMPTIONS && freesUsableSlot(request)) {
                mostRecent = request;
            }
        }
        return mostRecent;
    }

    /** Returns true if pausing a request frees a usable slot: not if its target is leaving or exceeds its slots. */
    private static boolean freesUsableSlot(RequestState request) {
        int slots = request.target.slots();
        return slots > 0 && request.target.inFlight() <= slots;
    }
}
