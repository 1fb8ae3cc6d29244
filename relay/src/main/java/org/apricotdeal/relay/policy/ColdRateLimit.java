package org.apricotdeal.relay.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the requests that this node sends to a VM while the VM is cold, so that the requests of all nodes stay within
 * the bound in any second, whatever the nodes know of each other.
 *
 * <p>Load pattern: a failure domain returns with cold and empty VMs during a burst, and each node sends what it has to
 * the emptiest VMs. Counts of other nodes' requests are older than the second in which they would be needed, so each
 * home node ({@link HomeNodes}) has a fixed part of the bound and the other nodes have none. Nodes that disagree about
 * the fleet choose different home nodes. The parts therefore use half of the bound: two disjoint sets of home nodes
 * keep within it. The loss is small, because the bound is well above the rate that a VM tolerates.
 *
 * <p>Requests count from before the VM was cold, because it may become cold again while it serves.
 */
final class ColdRateLimit {
    /** A second, and the time by which the way to the VM may bring requests closer together. */
    static final long WINDOW_MILLIS = 1_100;

    /** Number of sets of home nodes that keep within the bound together. */
    private static final int DISAGREEING_SETS = 2;

    private final Deque<Long> sentMillis = new ArrayDeque<>();
    private ColdVm vm;

    /**
     * Creates a limit.
     *
     * @param vm state of the VM
     */
    ColdRateLimit(ColdVm vm) {
        this.vm = vm;
    }

    /** Sets the state of the VM. */
    void set(ColdVm changed) {
        vm = changed;
    }

    boolean isCold(long nowMillis) {
        return nowMillis < vm.untilMillis();
    }

    /** Records that this node sends a request to the VM, which may be warm. */
    void recordSend(long nowMillis) {
        forgetOld(nowMillis);
        sentMillis.addLast(nowMillis);
    }

    /**
     * Returns the number of requests that this node may send now.
     *
     * @param rank rank of this node among the home nodes
     * @param nowMillis monotonic time
     * @return number of requests; the maximum integer if the VM is not cold
     */
    int permits(int rank, long nowMillis) {
        if (!isCold(nowMillis)) {
            return Integer.MAX_VALUE;
        }
        forgetOld(nowMillis);
        return Math.max(0, part(rank) - sentMillis.size());
    }

    /** Returns the part of the bound of a home node; the remainder of the division goes to the first ranks. */
    private int part(int rank) {
        return rank >= HomeNodes.COUNT ? 0 : (allHomeNodes() + HomeNodes.COUNT - 1 - rank) / HomeNodes.COUNT;
    }

    private int allHomeNodes() {
        return vm.maxPerSecond() / DISAGREEING_SETS;
    }

    /**
     * Returns how many requests run at once if all home nodes use their parts.
     *
     * @param serviceMillis time that a request takes
     * @return number of requests, not rounded
     */
    double concurrentRequests(double serviceMillis) {
        return allHomeNodes() * serviceMillis / WINDOW_MILLIS;
    }

    /** Returns whether no request was sent recently, so that nothing is lost if the limit is forgotten. */
    boolean isIdle(long nowMillis) {
        forgetOld(nowMillis);
        return sentMillis.isEmpty();
    }

    private void forgetOld(long nowMillis) {
        while (!sentMillis.isEmpty() && nowMillis - sentMillis.getFirst() >= WINDOW_MILLIS) {
            sentMillis.removeFirst();
        }
    }
}
