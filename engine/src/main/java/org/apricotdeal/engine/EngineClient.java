package org.apricotdeal.engine;

import java.util.concurrent.CompletableFuture;

import org.apricotdeal.kernel.result.Result;

/** Client of model engines. No call blocks; futures are completed and listeners called on threads of the client. */
public interface EngineClient {
    /**
     * Queries an engine's state, on a new connection if the pooled ones may be broken.
     *
     * @param address host and port ({@code host:port}) of the VM
     * @param timeoutMillis timeout in milliseconds
     * @return the state, or the cause of the failure
     */
    CompletableFuture<Result<EngineState, String>> state(String address, long timeoutMillis);

    /**
     * Sends an order to an engine.
     *
     * @param address host and port ({@code host:port}) of the VM
     * @param credential credential for engines that require one with orders; empty for none
     * @param order the order
     * @param timeoutMillis timeout in milliseconds
     * @return outcome of the order
     */
    CompletableFuture<OrderOutcome> order(String address, String credential, Order order, long timeoutMillis);

    /**
     * Starts a token stream.
     *
     * @param address host and port ({@code host:port}) of the replica's first member
     * @param request the request
     * @param listener receives the tokens and the end of the stream, in order, on one thread at a time
     * @return handle for cancelling the stream
     */
    StreamHandle stream(String address, CompletionRequest request, TokenListener listener);
}
