package org.apricotdeal.relay.port;

import java.util.Comparator;
import java.util.Optional;

/**
 * Position of a VM's entry among all that the VM has written, whatever the store's revisions are.
 *
 * @param startedWallMillis wall-clock time of the VM's start
 * @param number number of the heartbeat since that start
 */
public record VmHeartbeat(long startedWallMillis, long number) implements Comparable<VmHeartbeat> {
    private static final Comparator<VmHeartbeat> ORDER =
            Comparator.comparingLong(VmHeartbeat::startedWallMillis).thenComparingLong(VmHeartbeat::number);

    /**
     * Returns whether the VM has started anew since a heartbeat.
     *
     * @param before a heartbeat of the same VM, if known
     * @return false if none is known
     */
    public boolean isOfLaterStart(Optional<VmHeartbeat> before) {
        return before.isPresent() && startedWallMillis > before.get().startedWallMillis;
    }

    @Override
    public int compareTo(VmHeartbeat other) {
        return ORDER.compare(this, other);
    }
}
