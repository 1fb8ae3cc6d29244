package org.apricotdeal.policy.membership;

import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.VmId;

/** State that this node keeps for one peer: its health, its last heartbeat and its updates on VMs. */
final class PeerState {
    private final PeerNode peer;
    private final String ownBootId;
    private final Map<VmId, VmUpdate> vmUpdates = new TreeMap<>();
    private Heartbeat lastHeartbeat;
    private long receivedMillis;
    private long appliedIncarnation;
    private long ackedIncarnation;
    private Health health = Health.ALIVE;

    PeerState(PeerNode peer, String ownBootId, long nowMillis) {
        this.peer = peer;
        this.ownBootId = ownBootId;
        this.receivedMillis = nowMillis;
    }

    PeerNode peer() {
        return peer;
    }

    Map<VmId, VmUpdate> vmUpdates() {
        return vmUpdates;
    }

    Health health() {
        return health;
    }

    void health(Health newHealth) {
        health = newHealth;
    }

    long receivedMillis() {
        return receivedMillis;
    }

    /** Returns {@code sentMillis} of the newest heartbeat, which is echoed to the peer. */
    long echoMillis() {
        return lastHeartbeat == null ? 0 : lastHeartbeat.sentMillis();
    }

    long appliedIncarnation() {
        return appliedIncarnation;
    }

    long ackedIncarnation() {
        return ackedIncarnation;
    }

    /**
     * Returns a lower bound, on this node's clock, for the times at which the peer observed the VMs that it considers alive,
     * or 0 if no bound is known.
     */
    long oldestObservationMillis() {
        return hasReceivedHeartbeat()
                        && echoesCurrentBoot(lastHeartbeat)
                        && lastHeartbeat.afterIncarnation() <= appliedIncarnation
                ? lastHeartbeat.echoMillis() - lastHeartbeat.oldestAliveMillis()
                : 0;
    }

    boolean hasReceivedHeartbeat() {
        return lastHeartbeat != null;
    }

    /** Returns the boot id of the peer, or an empty string before its first heartbeat. */
    String bootId() {
        return lastHeartbeat == null ? "" : lastHeartbeat.bootId();
    }

    /** Tells whether a heartbeat echoes one that this node has sent since its last start. */
    private boolean echoesCurrentBoot(Heartbeat heartbeat) {
        return heartbeat.echoBootId().equals(ownBootId) && heartbeat.echoMillis() > 0;
    }

    /** Applies a heartbeat; returns false if it is not newer than the last one. */
    boolean apply(long nowMillis, Heartbeat heartbeat) {
        boolean restarted = lastHeartbeat != null && !lastHeartbeat.bootId().equals(heartbeat.bootId());
        if (lastHeartbeat != null && !restarted && heartbeat.sentMillis() <= lastHeartbeat.sentMillis()) {
            return false;
        }
        if (restarted) {
            vmUpdates.clear();
            appliedIncarnation = 0;
        }
        ackedIncarnation = echoesCurrentBoot(heartbeat) ? heartbeat.ackIncarnation() : 0;
        lastHeartbeat = heartbeat;
        receivedMillis = nowMillis;
        if (heartbeat.afterIncarnation() > appliedIncarnation) {
            return true;
        }
        for (VmUpdate update : heartbeat.vmUpdates()) {
            if (update.incarnation() <= appliedIncarnation) {
                continue;
            }
            if (update.health() == null) {
                vmUpdates.remove(update.vm());
            } else {
                vmUpdates.put(update.vm(), update);
            }
        }
        for (VmUpdate update : heartbeat.vmUpdates()) {
            appliedIncarnation = Math.max(appliedIncarnation, update.incarnation());
        }
        return true;
    }
}
