package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** Requests that wait for the same targets, the targets, and how long these take. */
final class LineState {
    private static final Comparator<RequestState> ORDER = Comparator.comparing(
                    (RequestState request) -> request.attempts == 0)
            .thenComparingInt(request -> request.arrival.priority())
            .thenComparingLong(request -> request.sequence);

    final LineId id;
    final TreeSet<RequestState> waiting = new TreeSet<>(ORDER);
    final List<TargetState> targets = new ArrayList<>();
    final Average serviceMillis;
    final Average startMillis;

    /**
     * Creates a line.
     *
     * @param id the line
     * @param usualServiceMillis time that a request keeps a slot, before any has been measured
     * @param usualStartMillis time to the first bytes of an answer, before any has been measured
     */
    LineState(LineId id, double usualServiceMillis, double usualStartMillis) {
        this.id = id;
        this.serviceMillis = new Average(usualServiceMillis);
        this.startMillis = new Average(usualStartMillis);
    }

    int usableSlots(long nowMillis) {
        int sum = 0;
        for (TargetState target : targets) {
            if (!target.inDoubt(nowMillis)) {
                sum += target.target.slots();
            }
        }
        return sum;
    }

    int freeSlots(long nowMillis) {
        int sum = 0;
        for (TargetState target : targets) {
            sum += target.freeSlots(nowMillis);
        }
        return sum;
    }

    /** Predicts how long a request waits behind those that go before it. */
    double predictWaitMillis(RequestState request, long nowMillis) {
        int ahead = waiting.headSet(request).size();
        int free = freeSlots(nowMillis);
        if (ahead < free) {
            return 0;
        }
        int slots = usableSlots(nowMillis);
        return slots == 0 ? Double.MAX_VALUE : (ahead - free + 1) * serviceMillis.value() / slots;
    }
}
