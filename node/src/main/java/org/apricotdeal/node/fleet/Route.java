package org.apricotdeal.node.fleet;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.policy.routing.Target;

/**
 * A target and the address to which its requests are sent.
 *
 * @param target the target, as the dispatcher uses it
 * @param replica the replica; null for a VM of a plain service
 * @param vm the VM that receives the requests: the replica's first member, or the service's VM
 * @param address host and port of that VM
 */
public record Route(Target target, ReplicaId replica, VmId vm, String address) {}
