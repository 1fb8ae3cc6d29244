package org.apricotdeal.relay.policy;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.relay.poison.ServedRelease;

/** A target with its load and health as known to the dispatcher. */
final class TargetState {
    /** Maximum age of the peers' request counts; several heartbeat periods. */
    private static final long MAX_PEER_LOAD_AGE_MILLIS = 1_500;

    /** Time by which a count of the peers is older than its heartbeat; a count of the target itself is current. */
    private static final long PEER_COUNT_LAG_MILLIS = 300;

    /**
     * Weight of a new count in the average of the peers' counts: the average follows changes within several seconds,
     * much more slowly than the counts become outdated.
     */
    private static final double PEER_AVERAGE_WEIGHT = 0.05;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** Time for which a target is excluded after the first suspicion, before one request probes it. */
    private static final long FIRST_EXCLUSION_MILLIS = 1_000;

    /** Bounds of the load that the work left of a request counts as, in requests of usual cost. */
    private static final double MIN_LOAD = 0.5;

    private static final double MAX_LOAD = 2;

    private static final long MAX_EXCLUSION_MILLIS = 8_000;

    /** Number of consecutive stalls after which a plain service is suspected. */
    private static final int STALLS_TO_SUSPECT_SERVICE = 2;

    final Target target;
    final Set<RequestState> running = new LinkedHashSet<>();
    long lastProgressMillis;

    private long silentSinceMillis;
    private final QueueState queue;

    /** Monotonic time at which this node learned of the target. */
    final long listedMillis;

    private final ServedRelease served;
    private final TargetPace pace = new TargetPace();
    private final TargetMemory memory;
    private double readUntilMillis;
    private int peersRunning;
    private double averagePeersRunning;
    private long peersUpdatedMillis = NEVER_MILLIS;
    private long reportedMillis = NEVER_MILLIS;
    private int consecutiveStalls;
    private long suspectedMillis;
    private long excludedUntilMillis;
    private long exclusionMillis;
    private int maxRunningInRound = Integer.MAX_VALUE;
    private boolean home = true;
    private boolean evacuated;
    private Optional<ColdRateLimit> coldLimit = Optional.empty();
    private int homeRank = HomeNodes.COUNT;
    private long coldShareFromMillis = Long.MAX_VALUE;
    private long pausedUntilMillis = NEVER_MILLIS;

    TargetState(Target target, QueueState queue, long listedMillis) {
        this.target = target;
        this.listedMillis = listedMillis;
        this.queue = queue;
        this.memory = new TargetMemory(target.memoryTokens(), target.slots());
        this.served =
                new ServedRelease(target.queue().upstream(), target.queue().model(), target.release());
    }

    QueueState queue() {
        return queue;
    }

    /** Returns what the VMs of the target serve. */
    ServedRelease served() {
        return served;
    }

    void setHome(boolean isHome) {
        home = isHome;
    }

    /** Returns whether this node is a home node of the target. */
    boolean isHome() {
        return home;
    }

    void setPeersRunning(int count, long nowMillis) {
        averagePeersRunning = peersUpdatedMillis == NEVER_MILLIS
                ? count
                : averagePeersRunning + PEER_AVERAGE_WEIGHT * (count - averagePeersRunning);
        if (nowMillis - reportedMillis >= PEER_COUNT_LAG_MILLIS) {
            peersRunning = count;
            peersUpdatedMillis = nowMillis;
        }
    }

    /**
     * Assumes that the peers will soon run as many requests here as at other targets, although they run none yet. Each
     * node would otherwise fill a target that has just opened by itself.
     *
     * @param average average of the peers' counts at the other targets of the queue
     * @param nowMillis monotonic time
     */
    void assumePeersRunning(double average, long nowMillis) {
        averagePeersRunning = average;
        peersUpdatedMillis = nowMillis;
    }

    /** Returns whether a count of the peers or an assumption about it is known. */
    boolean knowsPeers() {
        return peersUpdatedMillis != NEVER_MILLIS;
    }

    double averagePeersRunning() {
        return averagePeersRunning;
    }

    /**
     * Returns the load by which targets are compared: this node's own requests and the average of the peers' counts.
     * If the nodes compared the latest counts, which are old, all of them would send to the same target until they
     * heard of each other's requests. With the average each node spreads its own requests evenly, and corrects lasting
     * differences between targets only.
     */
    double expectedLoad(long nowMillis) {
        return running.size() + (nowMillis - peersUpdatedMillis < MAX_PEER_LOAD_AGE_MILLIS ? averagePeersRunning : 0);
    }

    /** Returns the latest known number of requests of all nodes. */
    int load(long nowMillis) {
        return running.size() + (nowMillis - peersUpdatedMillis < MAX_PEER_LOAD_AGE_MILLIS ? peersRunning : 0);
    }

    /** Records the time to the first bytes of an answer, beside the typical time of the queue. */
    void recordStart(long tookMillis, double typicalMillis, long nowMillis) {
        pace.add(tookMillis, typicalMillis, nowMillis);
        if (runningWithoutAnswer() == 0) {
            readUntilMillis = nowMillis;
        }
    }

    /** Returns the factor by which the target is slower than the others of its queue. */
    double pace(long nowMillis) {
        return pace.factor(nowMillis);
    }

    /** Returns the time that the engine needs for the prompts of this node that it has not read yet. */
    double unreadMillis(long nowMillis) {
        return Math.max(0, readUntilMillis - nowMillis);
    }

    /**
     * Returns the load of the target in requests of usual cost. The work left of this node's own requests is known; those
     * of the peers, whose counts are old, count as one each.
     *
     * @param nowMillis monotonic time
     * @param usualMillis usual time that a request occupies a slot
     */
    double workLoad(long nowMillis, double usualMillis) {
        double requests = expectedLoad(nowMillis) - running.size();
        for (RequestState request : running) {
            double left = 2 * request.remainingMillis(nowMillis, usualMillis / 2) / usualMillis;
            requests += Math.clamp(left, MIN_LOAD, MAX_LOAD);
        }
        return requests;
    }

    /** Counts the requests of this node at the target whose answers have not started. */
    int runningWithoutAnswer() {
        int count = 0;
        for (RequestState request : running) {
            if (!request.started) {
                count++;
            }
        }
        return count;
    }

    /**
     * Records the requests that the target itself counted when it began an answer. That is younger than the peers' counts,
     * so what exceeds this node's requests replaces the latest of these; the average is left to the heartbeats, which
     * arrive at even intervals.
     *
     * @param requests running and waiting requests of all nodes
     * @param nowMillis monotonic time
     */
    void recordReportedLoad(int requests, long nowMillis) {
        if (peersUpdatedMillis != NEVER_MILLIS) {
            peersRunning = Math.max(0, requests - running.size());
            peersUpdatedMillis = nowMillis;
            reportedMillis = nowMillis;
        }
    }

    /** Returns the age of the peers' counts that are included in the load, or 0 if none are included. */
    long loadAgeMillis(long nowMillis) {
        long ageMillis = nowMillis - peersUpdatedMillis;
        return ageMillis < MAX_PEER_LOAD_AGE_MILLIS ? ageMillis : 0;
    }

    /** Sends nothing to the target before the given time, because its VM asked for that. */
    void pauseUntil(long untilMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
    }

    /** Returns the time until which the VM wants no requests; in the past if it wants some. */
    long pausedUntilMillis() {
        return pausedUntilMillis;
    }

    /** Sets whether the operator evacuates the failure domain of the target. */
    void setEvacuated(boolean isEvacuated) {
        evacuated = isEvacuated;
    }

    /** Sets the limit that holds while the VM is cold; empty if its VM tolerates any rate of requests. */
    void setColdLimit(Optional<ColdRateLimit> limit) {
        coldLimit = limit;
    }

    /**
     * Sets the rank of this node among the home nodes. A node that becomes a home node leaves a cold target alone until
     * what others have sent to it in that role, or this node itself before a restart, counts no longer.
     *
     * @param rank rank of this node; {@link HomeNodes#COUNT} if it is no home node
     * @param sinceMillis monotonic time since which this node has known the fleet
     */
    void setHomeRank(int rank, long sinceMillis) {
        if (homeRank >= HomeNodes.COUNT) {
            coldShareFromMillis = sinceMillis + ColdRateLimit.WINDOW_MILLIS;
        }
        homeRank = rank;
    }

    private boolean isCold(long nowMillis) {
        return coldLimit.isPresent() && coldLimit.get().isCold(nowMillis);
    }

    private boolean hasColdShare(long nowMillis) {
        return homeRank < HomeNodes.COUNT && nowMillis >= coldShareFromMillis;
    }

    /** Returns how many requests this node may send with regard to the limit of a cold VM. */
    private int coldPermits(long nowMillis) {
        if (!isCold(nowMillis)) {
            return Integer.MAX_VALUE;
        }
        return hasColdShare(nowMillis) ? coldLimit.get().permits(homeRank, nowMillis) : 0;
    }

    /** Records that a request is sent to the target. */
    void recordSend(RequestState request, long nowMillis) {
        running.add(request);
        request.cost.ifPresent(cost -> recordPrompt(cost, nowMillis));
        coldLimit.ifPresent(limit -> limit.recordSend(nowMillis));
    }

    TargetMemory memory() {
        return memory;
    }

    /** Records that the engine receives a prompt, which it reads after those that it has received before. */
    private void recordPrompt(RequestCost cost, long nowMillis) {
        readUntilMillis = Math.max((double) nowMillis, readUntilMillis) + pace(nowMillis) * cost.readMillis();
    }

    /**
     * Returns the slots with which a waiting request can reckon. A cold target counts for what it may take, and for
     * nothing if this node sends it nothing.
     *
     * @param serviceMillis time that a request occupies a slot
     * @param nowMillis monotonic time
     * @return number of slots, occupied or not
     */
    int usableSlots(double serviceMillis, long nowMillis) {
        if (!isAvailable(nowMillis)) {
            return 0;
        }
        if (!isCold(nowMillis)) {
            return target.slots();
        }
        double concurrent = coldLimit.get().concurrentRequests(serviceMillis);
        return hasColdShare(nowMillis) ? (int) Math.min(target.slots(), Math.ceil(concurrent)) : 0;
    }

    /** Returns whether the operator evacuates the failure domain of the target. */
    boolean isEvacuated() {
        return evacuated;
    }

    /**
     * Decides whether the target may receive a request now. Every way of sending one asks this method: first attempts,
     * retries, moved and resumed requests, and the probes of suspected targets.
     */
    TargetBar bar(RequestState request, long nowMillis) {
        TargetBar bar = bar(nowMillis);
        return bar == TargetBar.NONE && !memory.fits(request, running, nowMillis) ? TargetBar.MEMORY : bar;
    }

    /** Returns what keeps the target from any request. */
    private TargetBar bar(long nowMillis) {
        if (evacuated) {
            return TargetBar.EVACUATED;
        }
        if (nowMillis < excludedUntilMillis || (exclusionMillis > 0 && triedSinceSuspected())) {
            return TargetBar.SUSPECTED;
        }
        if (nowMillis < pausedUntilMillis) {
            return TargetBar.PAUSED;
        }
        if (coldPermits(nowMillis) == 0) {
            return TargetBar.COLD;
        }
        return unbarredSlots(nowMillis) > 0 ? TargetBar.NONE : TargetBar.FULL;
    }

    /** Returns the number of requests that this node may send to the target now; 0 if anything bars it. */
    int freeSlots(long nowMillis) {
        return bar(nowMillis) == TargetBar.NONE ? unbarredSlots(nowMillis) : 0;
    }

    private int unbarredSlots(long nowMillis) {
        if (exclusionMillis > 0) {
            return 1;
        }
        int freeInRound = Math.min(target.slots() - load(nowMillis), maxRunningInRound - running.size());
        return Math.max(0, Math.min(freeInRound, coldPermits(nowMillis)));
    }

    /**
     * Begins a heartbeat round. A slot whose request ends during the round may be used again by its node.
     *
     * @param share this node's share of the free slots
     * @param draw random number from 0 to 1
     */
    void beginRound(SlotShare share, double draw, long nowMillis) {
        if (share.isWhole()) {
            maxRunningInRound = Integer.MAX_VALUE;
            return;
        }
        int freeSlots = Math.max(0, target.slots() - load(nowMillis));
        boolean onlyChoice = queue.homeTargets.isEmpty();
        maxRunningInRound = running.size()
                + share.requestsInRound(freeSlots, target.slots(), onlyChoice, queue.shareScale.value(), draw);
    }

    /** Returns whether requests may be sent to the target when it has a free slot. */
    boolean isAvailable(long nowMillis) {
        return !evacuated && !isSuspected(nowMillis) && nowMillis >= pausedUntilMillis;
    }

    boolean isSuspected(long nowMillis) {
        return exclusionMillis > 0 || nowMillis < excludedUntilMillis;
    }

    /** Returns whether a request was sent since the target was last suspected; older requests give no new evidence. */
    boolean triedSinceSuspected() {
        return running.stream().anyMatch(request -> request.dispatchedMillis > suspectedMillis);
    }

    /** Excludes the target for a time that doubles with each suspicion until the target answers again. */
    void suspect(long nowMillis) {
        exclusionMillis =
                exclusionMillis == 0 ? FIRST_EXCLUSION_MILLIS : Math.min(MAX_EXCLUSION_MILLIS, 2 * exclusionMillis);
        suspectedMillis = nowMillis;
        excludedUntilMillis = nowMillis + exclusionMillis;
    }

    /**
     * Counts a stall, unless it says nothing new of a suspected target, and returns whether the target is suspected for
     * it. A plain service runs few requests at once, so a single lost answer stalls it; it is suspected after two
     * consecutive stalls.
     */
    boolean recordStall(long nowMillis) {
        if (isSuspected(nowMillis) && !triedSinceSuspected()) {
            return false;
        }
        consecutiveStalls++;
        return target.queue().model().isPresent() || consecutiveStalls >= STALLS_TO_SUSPECT_SERVICE;
    }

    /** Disregards a time during which this node could not see the progress of the target. */
    void excuseDelay(long delayMillis, long nowMillis) {
        lastProgressMillis = Math.min(nowMillis, lastProgressMillis + delayMillis);
        silentSinceMillis = Math.min(nowMillis, silentSinceMillis + delayMillis);
    }

    /** Begins to observe the target, which ran no requests of this node. */
    void startObservation(long nowMillis) {
        lastProgressMillis = nowMillis;
        silentSinceMillis = nowMillis;
    }

    /** Returns for how long none of the target's requests has made progress, over all stalls since. */
    long silentMillis(long nowMillis) {
        return nowMillis - silentSinceMillis;
    }

    /** Records bytes from the target; the latest of all its requests determines its progress. */
    void recordProgress(long atMillis) {
        if (atMillis <= lastProgressMillis) {
            return;
        }
        lastProgressMillis = atMillis;
        silentSinceMillis = atMillis;
        consecutiveStalls = 0;
        if (atMillis >= excludedUntilMillis) {
            exclusionMillis = 0;
        }
    }
}
