package org.apricotdeal.lab.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.relay.port.StoreRevision;

/** Checks each request that a node sends, with the true state of the store and the VMs. */
final class TargetsChecks {
    /** Time after the store's answer from which nothing may reach the VMs, according to the users' specification. */
    static final long EVACUATION_MILLIS = 5_000;

    private static final long SECOND_MILLIS = 1_000;

    private final TargetsWorld world;
    private final Map<TargetsNode, Long> inTouchSinceMillis = new HashMap<>();
    private final Map<FailureDomainId, Long> lastSendMillis = new HashMap<>();
    private long sends;
    private long coldSends;
    private long refusals;
    private int disagreements;
    private int restores;
    private long latestMillis;
    private int mostInSecond;

    TargetsChecks(TargetsWorld world) {
        this.world = world;
    }

    /** Records since when each node has been in touch with the store, itself or by other nodes. */
    void observeTouch(Set<TargetsNode> inTouch) {
        inTouchSinceMillis.keySet().retainAll(inTouch);
        inTouch.forEach(
                node -> inTouchSinceMillis.putIfAbsent(node, world.scheduler().monotonicMillis()));
    }

    void disagreement() {
        disagreements++;
    }

    void restore() {
        restores++;
    }

    void refusedForEvacuation() {
        refusals++;
    }

    /**
     * Checks a request that is about to reach a VM.
     *
     * @param node node that sends it
     * @param vm VM that receives it
     * @param toldRevision revision of the entry that the dispatcher knew when it decided to send
     */
    void onSend(TargetsNode node, TargetsVm vm, StoreRevision toldRevision) {
        long nowMillis = world.scheduler().monotonicMillis();
        sends++;
        lastSendMillis.put(vm.failureDomain, nowMillis);
        checkEvacuation(node, vm, nowMillis);
        if (vm.up && vm.isCold(nowMillis) && vm.isToldBy(toldRevision)) {
            checkCold(node, vm, nowMillis);
        }
    }

    private void checkEvacuation(TargetsNode node, TargetsVm vm, long nowMillis) {
        Optional<Long> acknowledged = world.store().acknowledgedMillis(vm.failureDomain);
        Long touchMillis = inTouchSinceMillis.get(node);
        if (acknowledged.isEmpty() || touchMillis == null) {
            return;
        }
        long lateMillis = nowMillis - Math.max(acknowledged.get(), touchMillis);
        latestMillis = Math.max(latestMillis, lateMillis);
        Invariants.check(
                lateMillis <= EVACUATION_MILLIS,
                "evacuation-obeyed",
                () -> node.self.name() + " sends to " + vm.id + " " + lateMillis + " ms after the word");
    }

    /** Counts the requests of the last second by nodes that know that the VM is cold. */
    private void checkCold(TargetsNode node, TargetsVm vm, long nowMillis) {
        coldSends++;
        vm.sendsWhileCold.addLast(nowMillis);
        while (nowMillis - vm.sendsWhileCold.getFirst() >= SECOND_MILLIS) {
            vm.sendsWhileCold.removeFirst();
        }
        world.trace().add(vm.id.value(), node.self.name() + " sends to " + vm.id + ", which is cold");
        int count = vm.sendsWhileCold.size();
        mostInSecond = Math.max(mostInSecond, count);
        int bound = TargetsWorld.COLD_BOUNDS.maxPerSecond(TargetsWorld.COLD_START);
        Invariants.check(
                count <= bound,
                "cold-rate-held",
                () -> vm.id + " gets " + count + " requests in a second while it is cold, of " + bound);
    }

    /** Checks that all nodes obey the operator's words as they are, after all faults have ended. */
    void checkWordsInForce() {
        for (TargetsNode node : world.nodes()) {
            Invariants.check(
                    node.evacuated().equals(world.store().words().domains()),
                    "evacuation-in-force",
                    () -> node.self.name() + " evacuates " + node.evacuated() + ", the operator "
                            + world.store().words().domains());
        }
    }

    /** Checks that each domain has got a request since a time, after all words were taken back. */
    void checkServedSince(long sinceMillis) {
        for (FailureDomainId domain : world.domains()) {
            Invariants.check(
                    lastSendMillis.getOrDefault(domain, 0L) >= sinceMillis,
                    "serves-again",
                    () -> domain + " gets no requests after all words were taken back");
        }
    }

    /** Returns the figures of the run. */
    @Override
    public String toString() {
        return sends + " requests, " + coldSends + " of them to cold VMs, at most " + mostInSecond
                + " in a second; two views of the fleet " + disagreements
                + " times; the store restored " + restores + " times; last request to an evacuated domain "
                + latestMillis + " ms after the word; "
                + refusals
                + " refused while all were evacuated";
    }
}
