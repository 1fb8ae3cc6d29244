package org.apricotdeal.policy.membership;

import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.VmId;

/** What this node knows from and of one peer. */
final class PeerState {
    private final PeerNode peer;
    private final String ownBootId;
    private final Map<VmId, VmNews> news = new TreeMap<>();
    private Heartbeat last;
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

    Map<VmId, VmNews> news() {
        return news;
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

    /** {@code sentMillis} of the newest heartbeat, for the peer's own bound. */
    long echoMillis() {
        return last == null ? 0 : last.sentMillis();
    }

    long appliedIncarnation() {
        return appliedIncarnation;
    }

    long ackedIncarnation() {
        return ackedIncarnation;
    }

    /** Lower bound, on this node's clock, of the peer's observations of VMs that it holds for alive. */
    long observedMillis() {
        return wasHeard() && isEchoOfThisLife(last) && last.afterIncarnation() <= appliedIncarnation
                ? last.echoMillis() - last.oldestAliveMillis()
                : 0;
    }

    boolean wasHeard() {
        return last != null;
    }

    /** Boot id of the peer, empty before its first heartbeat. */
    String bootId() {
        return last == null ? "" : last.bootId();
    }

    /** What the peer echoes is of no use where it is from before this node's start. */
    private boolean isEchoOfThisLife(Heartbeat heartbeat) {
        return heartbeat.echoBootId().equals(ownBootId) && heartbeat.echoMillis() > 0;
    }

    /** Takes in a heartbeat; returns false where it is older than one taken before. */
    boolean take(long nowMillis, Heartbeat heartbeat) {
        boolean restarted = last != null && !last.bootId().equals(heartbeat.bootId());
        if (last != null && !restarted && heartbeat.sentMillis() <= last.sentMillis()) {
            return false;
        }
        if (restarted) {
            news.clear();
            appliedIncarnation = 0;
        }
        ackedIncarnation = isEchoOfThisLife(heartbeat) ? heartbeat.ackIncarnation() : 0;
        last = heartbeat;
        receivedMillis = nowMillis;
        if (heartbeat.afterIncarnation() > appliedIncarnation) {
            return true;
        }
        for (VmNews item : heartbeat.news()) {
            if (item.incarnation() <= appliedIncarnation) {
                continue;
            }
            if (item.health() == null) {
                news.remove(item.vm());
            } else {
                news.put(item.vm(), item);
            }
        }
        for (VmNews item : heartbeat.news()) {
            appliedIncarnation = Math.max(appliedIncarnation, item.incarnation());
        }
        return true;
    }
}
