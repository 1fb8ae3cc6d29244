package org.apricotdeal.policy.routing;

import org.apricotdeal.kernel.misc.Invariants;

/**
 * What a node knows of one target: its own requests there, the last lagging report, and how fast tokens come.
 *
 * <p>The load is the last report's total, less the own requests that it counted, plus the own requests now. A report thus
 * only tells about the other nodes' work; own work since is never missed, however late the report is.
 */
public final class TargetState {
    private static final double INTERVAL_WEIGHT = 0.1;

    private final CircuitBreaker breaker = new CircuitBreaker();
    private final InFlightHistory history = new InFlightHistory();
    private final long hash;
    private Target target;
    private int inFlight;
    private int othersInFlight;
    private int reportedWaiting;
    private double tokenIntervalMillis;
    private double speed = 1.0;

    /**
     * Creates the state of a target without requests.
     *
     * @param target the target
     */
    public TargetState(Target target) {
        this.target = target;
        this.hash = PrefixHash.mix(PrefixHash.of(target.id().value()));
    }

    /**
     * Returns the target as of the last change of capacity.
     *
     * @return the target
     */
    public Target target() {
        return target;
    }

    /**
     * Takes a new version of the target.
     *
     * @param changed the target with the same id
     */
    public void change(Target changed) {
        target = changed;
    }

    /**
     * Counts a request sent to the target.
     *
     * @param nowMillis monotonic time
     */
    public void dispatched(long nowMillis) {
        inFlight++;
        history.record(nowMillis, inFlight);
    }

    /**
     * Counts a request that is no longer at the target.
     *
     * @param nowMillis monotonic time
     */
    public void released(long nowMillis) {
        Invariants.check(inFlight > 0, "in-flight-not-negative", () -> "target " + target.id());
        inFlight--;
        history.record(nowMillis, inFlight);
    }

    /**
     * Counts an attempt that the target failed.
     *
     * @param nowMillis monotonic time
     */
    public void failed(long nowMillis) {
        breaker.failed(nowMillis);
    }

    /** Counts a token or an answer. */
    public void succeeded() {
        breaker.succeeded();
    }

    /**
     * Lets the target be tried again where the pause after a failure has passed.
     *
     * @param nowMillis monotonic time
     */
    public void reopenIfDue(long nowMillis) {
        breaker.reopenIfDue(nowMillis, inFlight);
    }

    /**
     * Takes a load report.
     *
     * @param running requests that the target was decoding
     * @param waiting requests in the target's own queue
     * @param takenMillis monotonic time that the report describes
     */
    public void reported(int running, int waiting, long takenMillis) {
        othersInFlight = Math.max(0, running + waiting - history.at(takenMillis));
        reportedWaiting = waiting;
    }

    /**
     * Takes the time between tokens of one stream.
     *
     * @param intervalMillis mean time between the tokens observed
     */
    public void observeInterval(double intervalMillis) {
        tokenIntervalMillis = tokenIntervalMillis == 0
                ? intervalMillis
                : tokenIntervalMillis + INTERVAL_WEIGHT * (intervalMillis - tokenIntervalMillis);
    }

    /**
     * Returns the smoothed time between tokens.
     *
     * @return milliseconds, 0 while none was observed
     */
    public double tokenIntervalMillis() {
        return tokenIntervalMillis;
    }

    /**
     * Sets the target's speed as compared with its peers.
     *
     * @param share from above 0 to 1; 1 for a target as fast as its peers
     */
    public void setSpeed(double share) {
        speed = share;
    }

    /**
     * Returns the target's speed as compared with its peers.
     *
     * @return from above 0 to 1
     */
    public double speed() {
        return speed;
    }

    /**
     * Returns how many own requests the target may have now: less than its part where it is slower than its peers, but
     * one at the least, so that its recovery is seen; none while it is leaving, and none or one after failed attempts.
     *
     * @return number of requests
     */
    public int slots() {
        return breaker.allowed(plannedSlots());
    }

    /**
     * Returns how many own requests the target may have once a pause after failed attempts is over.
     *
     * @return number of requests
     */
    public int plannedSlots() {
        if (target.health() == TargetHealth.LEAVING || target.maxStreams() == 0) {
            return 0;
        }
        return Math.max(1, (int) Math.round(target.maxStreams() * speed));
    }

    /**
     * Returns how many further own requests the target may get.
     *
     * @return number of requests, 0 where it is full
     */
    public int freeSlots() {
        return Math.max(0, slots() - inFlight);
    }

    /**
     * Returns own requests at the target.
     *
     * @return number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Estimates the target's load over all nodes.
     *
     * @return requests running and waiting, larger for a slow target by as much as it is slower
     */
    public double estimatedLoad() {
        return (othersInFlight + inFlight + reportedWaiting) / speed;
    }

    /**
     * Returns the hash of the target's id, for rendezvous hashing; equal on all nodes.
     *
     * @return the hash
     */
    public long hash() {
        return hash;
    }
}
