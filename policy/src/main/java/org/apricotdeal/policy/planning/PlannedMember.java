package org.apricotdeal.policy.planning;

import org.apricotdeal.kernel.id.VmId;

/**
 * A VM as a member of a planned replica.
 *
 * @param vm the VM
 * @param bootId boot id of its engine when the plan was made; an engine that has restarted since is not a member until a
 *     newer plan names its new boot id
 */
public record PlannedMember(VmId vm, String bootId) {}
