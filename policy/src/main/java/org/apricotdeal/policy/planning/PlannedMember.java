package org.apricotdeal.policy.planning;

import org.apricotdeal.kernel.id.VmId;

/**
 * A VM as a member of a planned replica.
 *
 * @param vm the VM
 * @param bootId start of its engine that the plan reckons with; an engine that restarted is no member until the plan says
 *     so again
 */
public record PlannedMember(VmId vm, String bootId) {}
