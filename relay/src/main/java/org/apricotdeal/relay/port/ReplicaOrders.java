package org.apricotdeal.relay.port;

import java.util.concurrent.CompletableFuture;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;

/** Orders to VMs and their reports. No call blocks; futures complete on threads of the client, never exceptionally. */
public interface ReplicaOrders {
    /**
     * Sends an order that is refused where the VM has begun another since.
     *
     * @param vm the VM
     * @param expectedOrders number of orders that the VM must have begun
     * @param order the order
     * @param timeoutMillis longest time to wait for the reply
     * @return what came of it
     */
    CompletableFuture<OrderReply> order(UpstreamVm vm, long expectedOrders, ReplicaOrder order, long timeoutMillis);

    /**
     * Asks a VM for its state.
     *
     * @param vm the VM
     * @param timeoutMillis longest time to wait
     * @return the state, or why there is none
     */
    CompletableFuture<Result<VmReport, String>> report(UpstreamVm vm, long timeoutMillis);
}
