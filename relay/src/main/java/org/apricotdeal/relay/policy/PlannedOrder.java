package org.apricotdeal.relay.policy;

import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * An order that the planner wants sent.
 *
 * @param vm the VM, as the planner believed it to be
 * @param expectedOrders number of orders that the VM must have begun, or it refuses the order
 * @param order the order
 * @param reason why, for the log
 */
public record PlannedOrder(UpstreamVm vm, long expectedOrders, ReplicaOrder order, String reason) {}
