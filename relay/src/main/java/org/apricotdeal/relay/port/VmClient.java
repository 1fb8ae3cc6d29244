package org.apricotdeal.relay.port;

import java.util.concurrent.CompletableFuture;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;

/** Sends orders to VMs and reads their reports. No call blocks; futures complete on client threads, never exceptionally. */
public interface VmClient {
    /**
     * Sends an order, which the VM rejects if it has started a different order meanwhile.
     *
     * @param vm VM that is to execute the order
     * @param expectedOrders number of orders that the VM must have started before this one
     * @param order the order
     * @param timeoutMillis longest time to wait for the reply
     * @return outcome of the order
     */
    CompletableFuture<OrderReply> order(UpstreamVm vm, long expectedOrders, ReplicaOrder order, long timeoutMillis);

    /**
     * Reads the state of a VM.
     *
     * @param vm VM to query
     * @param timeoutMillis longest time to wait for the report
     * @return the report, or a description of the failure
     */
    CompletableFuture<Result<VmReport, String>> report(UpstreamVm vm, long timeoutMillis);
}
