package org.apricotdeal.policy.planning;

import org.apricotdeal.kernel.id.ReplicaId;

/**
 * One step from a plan to the next.
 *
 * @param step what was done
 * @param replica the replica that it was done to
 * @param generation the replica's generation after it
 */
public record PlanStep(RepairStep step, ReplicaId replica, long generation) {}
