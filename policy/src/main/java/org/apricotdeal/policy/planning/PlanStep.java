package org.apricotdeal.policy.planning;

import org.apricotdeal.kernel.id.ReplicaId;

/**
 * One change of a replica between a plan and the next.
 *
 * @param step kind of change
 * @param replica the changed replica
 * @param generation the replica's generation after the change
 */
public record PlanStep(RepairStep step, ReplicaId replica, long generation) {}
