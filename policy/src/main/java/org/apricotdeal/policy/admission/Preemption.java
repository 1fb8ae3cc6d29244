package org.apricotdeal.policy.admission;

/**
 * Chooses the stream that is paused for more urgent work.
 *
 * <p>The stream that began last is paused: it has the fewest tokens to be read again when it resumes. A stream is paused a
 * bounded number of times, so that it comes to its end under a steady trickle of urgent work too.
 */
final class Preemption {
    private static final int MAX_PREEMPTIONS = 3;
    private static final double PATIENCE_SHARE = 0.125;

    private Preemption() {}

    /** Tells whether the next request of a class has waited for so much of its time that another should make room. */
    static boolean isOverdue(ClassState waiting, long nowMillis) {
        RequestState head = waiting.queue.next().waiting.peekFirst();
        double patienceMillis = PATIENCE_SHARE * head.classEntry.firstTokenTargetMillis();
        return nowMillis - head.arrivedMillis >= patienceMillis;
    }

    /** Returns the stream to pause, or null where there is none. */
    static RequestState victim(UpstreamState upstream, ClassState waiting) {
        ClassState victims = ClassScheduler.victim(upstream.classes, waiting, upstream.slots());
        if (victims == null) {
            return null;
        }
        RequestState last = null;
        for (RequestState request : victims.running) {
            if (request.arrival.resumable() && request.preemptions < MAX_PREEMPTIONS && opensSlot(request)) {
                last = request;
            }
        }
        return last;
    }

    /** Tells whether the end of a request makes room for another: not where its target is leaving or over its slots. */
    private static boolean opensSlot(RequestState request) {
        int slots = request.target.slots();
        return slots > 0 && request.target.inFlight() <= slots;
    }
}
