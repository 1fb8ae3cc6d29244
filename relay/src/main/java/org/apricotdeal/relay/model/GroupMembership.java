package org.apricotdeal.relay.model;

import org.apricotdeal.kernel.id.ReplicaId;

/**
 * Membership of a VM in a replica, as reported by the VM.
 *
 * @param replica replica that the VM belongs to
 * @param epoch epoch of the replica; increases whenever members are ordered to join again
 * @param rank rank among the members; the head, which receives the requests, has rank 0
 * @param phase phase of the VM in the replica
 */
public record GroupMembership(ReplicaId replica, long epoch, int rank, GroupPhase phase) {
    /**
     * Returns whether two memberships refer to the same epoch of a replica.
     *
     * @param other membership to compare with
     * @return true if replica and epoch are equal
     */
    public boolean sameGroup(GroupMembership other) {
        return replica.equals(other.replica) && epoch == other.epoch;
    }
}
