package org.apricotdeal.policy.planning;

import org.apricotdeal.kernel.id.VmId;

/**
 * A replica that can serve requests now.
 *
 * @param replica the replica as planned
 * @param firstMember VM of the first member, which receives the requests
 * @param address address of that VM
 * @param oldestReportAgeMillis age of the oldest report among its members
 */
public record ServableReplica(PlannedReplica replica, VmId firstMember, String address, long oldestReportAgeMillis) {}
