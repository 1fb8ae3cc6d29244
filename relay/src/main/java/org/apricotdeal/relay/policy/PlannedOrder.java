package org.apricotdeal.relay.policy;

import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * An order that the planner wants to send.
 *
 * @param vm VM in the state that the decision was based on
 * @param expectedOrders order count that the VM must have, otherwise it refuses the order
 * @param order order to send
 * @param reason reason for the order, for the log
 */
public record PlannedOrder(UpstreamVm vm, long expectedOrders, ReplicaOrder order, String reason) {}
