package org.apricotdeal.node.fleet;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.policy.routing.Target;

/**
 * A target with the way to it.
 *
 * @param target the target as the dispatcher sees it
 * @param replica the replica; null for a VM of a plain service
 * @param vm the VM that takes requests: the replica's first member, or the service's VM
 * @param address that VM's host and port
 */
public record Route(Target target, ReplicaId replica, VmId vm, String address) {}
