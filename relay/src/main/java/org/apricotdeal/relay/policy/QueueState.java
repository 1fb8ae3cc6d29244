package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeSet;

/** Requests that wait for the same targets, with those targets and their measured service times. */
final class QueueState {
    private static final Comparator<RequestState> ORDER = Comparator.comparing(
                    (RequestState request) -> request.attempts == 0)
            .thenComparingInt(request -> request.arrival.priority())
            .thenComparing(request -> request.returningCaller)
            .thenComparingDouble(RequestState::orderMillis)
            .thenComparingLong(request -> request.sequence);

    /** Share of the slots that is reserved for new callers after one was refused. */
    private static final double RESERVED_SLOT_SHARE = 0.1;

    /** Share of the slots on which the return times of refused callers are based. */
    private static final double RETURNING_SLOT_SHARE = 0.5;

    final QueueId id;
    final TreeSet<RequestState> waiting = new TreeSet<>(ORDER);
    final List<TargetState> targets = new ArrayList<>();

    /** Those of the targets of which this node is a home node, without evacuated ones. */
    final List<TargetState> homeTargets = new ArrayList<>();

    final MovingAverage serviceMillis;
    final MovingAverage startMillis;
    final DemandMeter demand = new DemandMeter();
    final ShareScale shareScale = new ShareScale();
    long lastRefusedMillis = Long.MIN_VALUE / 2;
    long newCallerRefusedMillis = Long.MIN_VALUE / 2;
    long nextReturnAtMillis;
    private final Optional<CostEstimator> costs;
    private final TypicalTime typicalStart;
    private int openTargets;
    private OptionalDouble averagePeersRunning = OptionalDouble.empty();

    /**
     * Creates an empty queue.
     *
     * @param id identifies the queue
     * @param initialServiceMillis estimate of the time that a request occupies a slot, until it is measured
     * @param initialStartMillis estimate of the time to the first bytes of an answer, until it is measured
     * @param engine times of the engine; empty for plain services
     */
    QueueState(QueueId id, double initialServiceMillis, double initialStartMillis, Optional<EngineTimes> engine) {
        this.id = id;
        this.serviceMillis = new MovingAverage(initialServiceMillis);
        this.startMillis = new MovingAverage(initialStartMillis);
        this.typicalStart = new TypicalTime(initialStartMillis);
        this.costs = engine.map(CostEstimator::new);
    }

    void clearTargets() {
        averagePeersRunning = targets.stream()
                .filter(TargetState::knowsPeers)
                .mapToDouble(TargetState::averagePeersRunning)
                .average();
        targets.clear();
        homeTargets.clear();
    }

    void addTarget(TargetState target) {
        targets.add(target);
        if (isOpenHome(target)) {
            homeTargets.add(target);
        }
    }

    /** Returns the work that a request is likely to cause; empty if its size is not known. */
    Optional<RequestCost> estimateCost(Arrival arrival) {
        return costs.isEmpty()
                ? Optional.empty()
                : arrival.size().map(size -> costs.get().estimate(arrival, size));
    }

    /** Returns the work that a request would cause that is not sent, and keeps nothing of it. */
    Optional<RequestCost> previewCost(Arrival arrival) {
        return costs.isEmpty()
                ? Optional.empty()
                : arrival.size().map(size -> costs.get().preview(arrival, size));
    }

    /** Returns whether a request is too large for all targets, so that it would wait in vain. */
    boolean isTooLarge(RequestState request) {
        return !targets.isEmpty()
                && targets.stream().noneMatch(target -> target.memory().couldFit(request));
    }

    /** Returns whether a target is kept from a large request by its memory only, so that smaller requests may be sent. */
    boolean isHeldByMemory(RequestState request, long nowMillis) {
        for (TargetState target : targets) {
            if (target.memory().isLarge(request) && target.bar(request, nowMillis) == TargetBar.MEMORY) {
                return true;
            }
        }
        return false;
    }

    /** Records that the first bytes of an answer have arrived. */
    void recordStart(RequestState request, long nowMillis) {
        long tookMillis = nowMillis - request.dispatchedMillis;
        request.startedMillis = nowMillis;
        startMillis.add(tookMillis);
        request.target.recordStart(tookMillis, typicalStart.millis(), nowMillis);
        typicalStart.add(tookMillis);
    }

    /** Records that an answer is complete; only that of a first attempt is whole. */
    void recordEnd(RequestState request, long nowMillis) {
        serviceMillis.add(nowMillis - request.dispatchedMillis);
        if (costs.isEmpty() || request.attempts != 1 || !request.started) {
            return;
        }
        request.arrival.size().ifPresent(size -> costs.get()
                .learn(request.arrival, size, nowMillis - request.startedMillis));
    }

    /** Selects the home targets again after the nodes of the fleet or the evacuations have changed. */
    void updateHomeTargets() {
        homeTargets.clear();
        targets.stream().filter(QueueState::isOpenHome).forEach(homeTargets::add);
    }

    private static boolean isOpenHome(TargetState target) {
        return target.isHome() && !target.isEvacuated();
    }

    /** Counts the targets again that are not being evacuated, after the targets or the evacuations have changed. */
    void updateEvacuated() {
        openTargets =
                (int) targets.stream().filter(target -> !target.isEvacuated()).count();
    }

    private boolean anyEvacuated() {
        return openTargets < targets.size();
    }

    /** Returns the number of targets that are not being evacuated. */
    int openTargets() {
        return openTargets;
    }

    /** Records a refusal, which counts as demand for more targets. */
    void recordRefusal(RequestState request, RefusalReason reason, long nowMillis) {
        lastRefusedMillis = nowMillis;
        demand.recordRefusal(nowMillis, request.arrival.priority());
        if (!request.returningCaller && reason != RefusalReason.NO_TARGET && reason != RefusalReason.EVACUATED) {
            newCallerRefusedMillis = nowMillis;
        }
    }

    /** Returns why a request is refused for which no target is available. */
    RefusalReason noTargetReason() {
        return anyEvacuated() && openTargets == 0 ? RefusalReason.EVACUATED : RefusalReason.NO_TARGET;
    }

    /**
     * Removes the waiting requests for which only evacuated targets are left, because they would wait for the operator.
     *
     * @return the removed requests
     */
    List<RequestState> removeWaitingForEvacuated() {
        if (!anyEvacuated() || waiting.isEmpty()) {
            return List.of();
        }
        List<RequestState> removed =
                waiting.stream().filter(this::waitsForEvacuated).toList();
        removed.forEach(waiting::remove);
        return removed;
    }

    /**
     * Removes the waiting requests that have not been sent in time for their objective.
     *
     * @return the removed requests
     */
    List<RequestState> removeOverdue(long nowMillis) {
        List<RequestState> overdue = new ArrayList<>();
        for (RequestState request : waiting) {
            long waitedMillis = nowMillis - request.arrival.arrivedMillis();
            if (request.attempts == 0 && waitedMillis > AdmissionRule.maxWaitMillis(request)) {
                overdue.add(request);
            }
        }
        overdue.forEach(waiting::remove);
        return overdue;
    }

    private boolean waitsForEvacuated(RequestState request) {
        boolean evacuatedLeft = false;
        for (TargetState target : targets) {
            if (!request.triedTargets.contains(target.target.id())) {
                if (!target.isEvacuated()) {
                    return false;
                }
                evacuatedLeft = true;
            }
        }
        return evacuatedLeft;
    }

    /** Returns the mean number of requests that the peers ran at a target when the targets last changed. */
    OptionalDouble averagePeersRunning() {
        return averagePeersRunning;
    }

    private int availableSlots(long nowMillis) {
        int sum = 0;
        for (TargetState target : targets) {
            if (target.isAvailable(nowMillis)) {
                sum += target.target.slots();
            }
        }
        return sum;
    }

    QueueDemand readDemand(long nowMillis) {
        return demand.rates(nowMillis, serviceMillis.value(), availableSlots(nowMillis));
    }

    /** Returns the earliest time at which a VM wants requests again if all targets are paused; empty otherwise. */
    OptionalLong earliestPauseEndMillis(long nowMillis) {
        long earliestMillis = Long.MAX_VALUE;
        for (TargetState target : targets) {
            if (target.pausedUntilMillis() <= nowMillis) {
                return OptionalLong.empty();
            }
            earliestMillis = Math.min(earliestMillis, target.pausedUntilMillis());
        }
        return targets.isEmpty() ? OptionalLong.empty() : OptionalLong.of(earliestMillis);
    }

    int freeSlots(long nowMillis) {
        int sum = 0;
        for (TargetState target : targets) {
            sum += target.freeSlots(nowMillis);
        }
        return sum;
    }

    /** Returns whether the last free slots are reserved for new callers because one was refused recently. */
    boolean reservesSlotsForNewCallers(QueueEstimate estimate, long nowMillis, long withinMillis) {
        return nowMillis - newCallerRefusedMillis < withinMillis
                && estimate.freeSlots() < estimate.usableSlots() * RESERVED_SLOT_SHARE;
    }

    /**
     * Schedules the return of a refused caller. Returns are spaced at the rate at which slots become free for them,
     * so that callers that are refused together do not return together.
     *
     * @param estimate current estimate of the queue
     * @param nowMillis monotonic time
     * @param earliestMillis minimum delay
     * @param latestMillis maximum delay
     * @param jitter random number from 0 to 1 that distributes the returns that would exceed the maximum delay
     * @return delay from now
     */
    long scheduleReturn(
            QueueEstimate estimate, long nowMillis, double earliestMillis, double latestMillis, double jitter) {
        double intervalMillis = serviceMillis.value() / Math.max(1, estimate.usableSlots() * RETURNING_SLOT_SHARE);
        nextReturnAtMillis = Math.max(nextReturnAtMillis, nowMillis + Math.round(earliestMillis));
        long atMillis = nextReturnAtMillis;
        if (atMillis - nowMillis > latestMillis) {
            return Math.round(latestMillis - jitter * Math.max(0, latestMillis - earliestMillis) / 2);
        }
        nextReturnAtMillis += Math.round(intervalMillis);
        return atMillis - nowMillis;
    }

    /** Counts the slots and predicts the waiting time of a request behind those that precede it. */
    QueueEstimate estimate(RequestState request, long nowMillis) {
        int ahead = waiting.headSet(request).size();
        int freeSlots = freeSlots(nowMillis);
        int usableSlots = 0;
        for (TargetState target : targets) {
            usableSlots += target.usableSlots(serviceMillis.value(), nowMillis);
        }
        double waitMillis = 0;
        if (ahead >= freeSlots) {
            waitMillis =
                    usableSlots == 0 ? Double.MAX_VALUE : (ahead - freeSlots + 1) * serviceMillis.value() / usableSlots;
        }
        return new QueueEstimate(waiting.size(), freeSlots, usableSlots, waitMillis);
    }
}
