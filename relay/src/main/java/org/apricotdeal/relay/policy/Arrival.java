package org.apricotdeal.relay.policy;

import org.apricotdeal.relay.model.RouteEntry;

/**
 * A request that has been read whole and may be served.
 *
 * @param id the exchange
 * @param queue line that it waits in
 * @param route its route
 * @param customer its customer; empty where it needs none
 * @param priority rank, 0 first
 * @param arrivedMillis time at which its headers had been read
 * @param deadlineMillis time at which it has to have its final answer
 */
public record Arrival(
        ExchangeId id,
        QueueId queue,
        RouteEntry route,
        String customer,
        int priority,
        long arrivedMillis,
        long deadlineMillis) {}
