package org.apricotdeal.relay.model;

import org.apricotdeal.kernel.id.ReplicaId;

/**
 * A VM's place in a replica, as the VM itself says.
 *
 * @param replica the replica
 * @param epoch number of the replica's formation; rises whenever members are ordered to join anew
 * @param rank place among the members; the head, which takes requests, has 0
 * @param phase what the VM is doing there
 */
public record GroupMembership(ReplicaId replica, long epoch, int rank, GroupPhase phase) {
    /**
     * Tells whether two memberships are of the same formation.
     *
     * @param other the other
     * @return true where replica and number agree
     */
    public boolean sameGroup(GroupMembership other) {
        return replica.equals(other.replica) && epoch == other.epoch;
    }
}
