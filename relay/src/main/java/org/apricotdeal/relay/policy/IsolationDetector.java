package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.id.VmId;

/**
 * Decides whether this node has lost its links to the VMs while other nodes reach them.
 *
 * <p>Load pattern: all connections of a node to VMs hang, are refused, or live on while new ones are refused, for seconds, or
 * many VMs are lost at once, or a failure domain is cut off from the others. In the first two cases most VMs do not answer this
 * node; in the second one, other nodes report the same VMs. In the third one the VMs of its own failure domain answer. A VM that
 * is silent for a second is a single one, and is reported by all.
 */
public final class IsolationDetector {
    /** Minimum number of VMs that are silent for this node only. */
    public static final int MIN_SILENT_VMS = 3;

    /** Share of the listed VMs that an isolated node does not reach. */
    private static final double MIN_SILENT_SHARE = 0.5;

    /** Time in which other nodes notice that a VM is lost, and their heartbeats say so. */
    private static final long PEER_LAG_MILLIS = 1_000;

    /** Time after which the other VMs are asked as well; most losses have been reported by then. */
    private static final long SUSPICION_MILLIS = 400;

    /** Time for which a report of another node counts. */
    private static final long REPORT_MILLIS = 3_000;

    private final Map<VmId, Long> silentSinceMillis = new HashMap<>();
    private final Map<VmId, Long> reportedMillis = new HashMap<>();
    private boolean isolated;
    private boolean suspected;

    /**
     * Records that another node reports VMs that do not answer it.
     *
     * @param vms the silent VMs
     * @param nowMillis monotonic time
     */
    public void recordPeerReport(Set<VmId> vms, long nowMillis) {
        vms.forEach(vm -> reportedMillis.put(vm, nowMillis));
    }

    /**
     * Evaluates which VMs answer this node.
     *
     * @param listed VMs that this node may ask
     * @param nearby those of them in its own failure domain
     * @param silent those of them that do not answer it
     * @param peersHeard whether heartbeats of other nodes arrive
     * @param nowMillis monotonic time
     */
    public void update(Set<VmId> listed, Set<VmId> nearby, Set<VmId> silent, boolean peersHeard, long nowMillis) {
        silentSinceMillis.keySet().retainAll(silent);
        silent.forEach(vm -> silentSinceMillis.putIfAbsent(vm, nowMillis));
        reportedMillis.values().removeIf(atMillis -> nowMillis - atMillis >= REPORT_MILLIS);
        suspected = peersHeard && silentHereOnly(SUSPICION_MILLIS, nowMillis).size() >= MIN_SILENT_VMS;
        Set<VmId> silentHere = silentHereOnly(isolated ? 0 : PEER_LAG_MILLIS, nowMillis);
        isolated = peersHeard
                && silentHere.size() >= MIN_SILENT_VMS
                && mostAreIn(silentHere, listed)
                && mostAreIn(silentHere, nearby);
    }

    private Set<VmId> silentHereOnly(long minMillis, long nowMillis) {
        Set<VmId> vms = new HashSet<>();
        silentSinceMillis.forEach((vm, sinceMillis) -> {
            if (nowMillis - sinceMillis >= minMillis && !reportedMillis.containsKey(vm)) {
                vms.add(vm);
            }
        });
        return vms;
    }

    /** Returns whether most of the VMs that no other node reports are among the silent ones. */
    private boolean mostAreIn(Set<VmId> silentHere, Set<VmId> vms) {
        long unreported =
                vms.stream().filter(vm -> !reportedMillis.containsKey(vm)).count();
        return vms.stream().filter(silentHere::contains).count() >= MIN_SILENT_SHARE * unreported;
    }

    /**
     * Returns whether this node reaches few VMs while others reach them.
     *
     * @return true from some time after the loss of the links until most VMs answer again
     */
    public boolean isIsolated() {
        return isolated;
    }

    /**
     * Returns whether all VMs should be asked, because this node may be isolated.
     *
     * @return true while several VMs are silent for this node only
     */
    public boolean isSuspected() {
        return suspected;
    }
}
