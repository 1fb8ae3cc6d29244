package org.apricotdeal.policy.planning;

import org.apricotdeal.kernel.id.VmId;

/**
 * A replica that can take work now.
 *
 * @param replica the replica as planned
 * @param firstMember the VM that serves its requests
 * @param address that VM's address
 * @param oldestMillis age of the oldest report among its members
 */
public record ServableReplica(PlannedReplica replica, VmId firstMember, String address, long oldestMillis) {}
