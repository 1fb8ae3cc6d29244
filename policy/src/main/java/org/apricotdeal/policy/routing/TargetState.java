package org.apricotdeal.policy.routing;

import org.apricotdeal.kernel.misc.Invariants;

/**
 * State of one target at a node: the node's own requests there, the last load report, and the time between tokens.
 *
 * <p>The estimated load is the total of the last report, less the node's own requests at the time of the report, plus its
 * own current requests. The report thus contributes only the requests of other nodes, and the node's own requests are always
 * counted exactly, however delayed the report is.
 */
public final class TargetState {
    private static final double INTERVAL_SMOOTHING_FACTOR = 0.1;

    private final CircuitBreaker breaker = new CircuitBreaker();
    private final InFlightHistory history = new InFlightHistory();
    private final long hash;
    private Target target;
    private int inFlight;
    private int otherNodesInFlight;
    private int reportedWaiting;
    private double tokenIntervalMillis;
    private double speed = 1.0;

    /**
     * Creates the state of a target without requests.
     *
     * @param target target with the node's share of its capacity
     */
    public TargetState(Target target) {
        this.target = target;
        this.hash = PrefixHash.mix(PrefixHash.of(target.id().value()));
    }

    /**
     * Returns the target as of the last change of capacity.
     *
     * @return the current version of the target
     */
    public Target target() {
        return target;
    }

    /**
     * Replaces the target by a new version.
     *
     * @param updated new version with the same id
     */
    public void update(Target updated) {
        target = updated;
    }

    /**
     * Counts a request that was dispatched to the target.
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
     * Opens the circuit breaker after a failed attempt.
     *
     * @param nowMillis monotonic time
     */
    public void attemptFailed(long nowMillis) {
        breaker.failed(nowMillis);
    }

    /** Closes a half-open circuit breaker after a token or an answer was received. */
    public void attemptProgressed() {
        breaker.succeeded();
    }

    /**
     * Half-opens the circuit breaker if the pause after a failure has passed.
     *
     * @param nowMillis monotonic time
     */
    public void halfOpenIfDue(long nowMillis) {
        breaker.halfOpenIfDue(nowMillis, inFlight);
    }

    /**
     * Records a load report.
     *
     * @param running requests that the target was decoding
     * @param waiting requests in the target's own queue
     * @param asOfMillis monotonic time that the report describes
     */
    public void loadReported(int running, int waiting, long asOfMillis) {
        otherNodesInFlight = Math.max(0, running + waiting - history.inFlightAt(asOfMillis));
        reportedWaiting = waiting;
    }

    /**
     * Updates the smoothed time between tokens with an observation of one stream.
     *
     * @param intervalMillis mean time between the observed tokens
     */
    public void observeInterval(double intervalMillis) {
        tokenIntervalMillis = tokenIntervalMillis == 0
                ? intervalMillis
                : tokenIntervalMillis + INTERVAL_SMOOTHING_FACTOR * (intervalMillis - tokenIntervalMillis);
    }

    /**
     * Returns the smoothed time between tokens.
     *
     * @return milliseconds; 0 if none has been observed yet
     */
    public double tokenIntervalMillis() {
        return tokenIntervalMillis;
    }

    /**
     * Sets the target's speed relative to its peers.
     *
     * @param relativeSpeed from above 0 to 1; 1 for a target as fast as its peers
     */
    public void setSpeed(double relativeSpeed) {
        speed = relativeSpeed;
    }

    /**
     * Returns the target's speed relative to its peers.
     *
     * @return from above 0 to 1
     */
    public double speed() {
        return speed;
    }

    /**
     * Returns the number of requests that this node may have at the target now. A target slower than its peers gets fewer,
     * but at least one, so that its recovery is noticed. A leaving target gets none. After a failed attempt no requests are
     * allowed for a pause, and then one more than are in flight.
     *
     * @return number of requests
     */
    public int slots() {
        return breaker.allowedSlots(plannedSlots());
    }

    /**
     * Returns the number of requests that this node may have at the target without regard to a pause after failed attempts.
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
     * Returns the number of further requests that this node may send to the target.
     *
     * @return number of requests, 0 if the target is full
     */
    public int freeSlots() {
        return Math.max(0, slots() - inFlight);
    }

    /**
     * Returns the number of this node's requests at the target.
     *
     * @return number of requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Estimates the target's load over all nodes.
     *
     * @return number of running and waiting requests divided by the target's relative speed
     */
    public double estimatedLoad() {
        return (otherNodesInFlight + inFlight + reportedWaiting) / speed;
    }

    /**
     * Returns the hash of the target's id for rendezvous hashing, which is equal on all nodes.
     *
     * @return 64-bit hash
     */
    public long hash() {
        return hash;
    }
}
