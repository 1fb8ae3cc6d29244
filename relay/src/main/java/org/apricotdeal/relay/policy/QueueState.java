package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** Requests that wait for the same targets, the targets, and how long these take. */
final class QueueState {
    private static final Comparator<RequestState> ORDER = Comparator.comparing(
                    (RequestState request) -> request.attempts == 0)
            .thenComparingInt(request -> request.arrival.priority())
            .thenComparing(request -> request.returningCaller)
            .thenComparingLong(request -> request.sequence);

    /** Part of the slots that are the last ones. */
    private static final double RESERVED_SLOT_SHARE = 0.1;

    /** Part of the slots that callers who come back may count on. */
    private static final double RETURNING_SLOT_SHARE = 0.5;

    final QueueId id;
    final TreeSet<RequestState> waiting = new TreeSet<>(ORDER);
    final List<TargetState> targets = new ArrayList<>();
    final MovingAverage serviceMillis;
    final MovingAverage startMillis;
    final DemandMeter demand = new DemandMeter();
    long lastRefusedMillis = Long.MIN_VALUE / 2;
    long newCallerRefusedMillis = Long.MIN_VALUE / 2;
    long nextReturnAtMillis;

    /**
     * Creates a line.
     *
     * @param id the line
     * @param usualServiceMillis time that a request keeps a slot, before any has been measured
     * @param usualStartMillis time to the first bytes of an answer, before any has been measured
     */
    QueueState(QueueId id, double usualServiceMillis, double usualStartMillis) {
        this.id = id;
        this.serviceMillis = new MovingAverage(usualServiceMillis);
        this.startMillis = new MovingAverage(usualStartMillis);
    }

    private int usableSlots(long nowMillis) {
        int sum = 0;
        for (TargetState target : targets) {
            if (!target.isSuspected(nowMillis)) {
                sum += target.target.slots();
            }
        }
        return sum;
    }

    QueueDemand readDemand(long nowMillis) {
        return demand.rates(nowMillis, serviceMillis.value(), usableSlots(nowMillis));
    }

    int freeSlots(long nowMillis) {
        int sum = 0;
        for (TargetState target : targets) {
            sum += target.freeSlots(nowMillis);
        }
        return sum;
    }

    /** Tells whether the last free slots are kept for newcomers, since some of these were refused a short time ago. */
    boolean reservesSlotsForNewCallers(QueueEstimate outlook, long nowMillis, long withinMillis) {
        return nowMillis - newCallerRefusedMillis < withinMillis
                && outlook.freeSlots() < outlook.usableSlots() * RESERVED_SLOT_SHARE;
    }

    /**
     * Chooses when a refused caller should come back. Returns are placed one after the other, as far apart as slots get free
     * for them, so that callers who were refused together do not come back together.
     *
     * @param outlook the line's outlook now
     * @param nowMillis time
     * @param earliestMillis shortest time to come back
     * @param latestMillis longest time to come back
     * @param spread number from 0 to 1 that places the returns beyond the longest time
     * @return time from now
     */
    long scheduleReturn(
            QueueEstimate outlook, long nowMillis, double earliestMillis, double latestMillis, double spread) {
        double apartMillis = serviceMillis.value() / Math.max(1, outlook.usableSlots() * RETURNING_SLOT_SHARE);
        nextReturnAtMillis = Math.max(nextReturnAtMillis, nowMillis + Math.round(earliestMillis));
        long atMillis = nextReturnAtMillis;
        if (atMillis - nowMillis > latestMillis) {
            return Math.round(latestMillis - spread * Math.max(0, latestMillis - earliestMillis) / 2);
        }
        nextReturnAtMillis += Math.round(apartMillis);
        return atMillis - nowMillis;
    }

    /** Counts slots and predicts how long a request waits behind those that go before it. */
    QueueEstimate estimate(RequestState request, long nowMillis) {
        int ahead = waiting.headSet(request).size();
        int free = freeSlots(nowMillis);
        int usable = usableSlots(nowMillis);
        double waitMillis = 0;
        if (ahead >= free) {
            waitMillis = usable == 0 ? Double.MAX_VALUE : (ahead - free + 1) * serviceMillis.value() / usable;
        }
        return new QueueEstimate(waiting.size(), free, usable, waitMillis);
    }
}
