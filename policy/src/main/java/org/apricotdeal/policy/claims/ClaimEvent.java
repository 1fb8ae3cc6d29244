package org.apricotdeal.policy.claims;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.platform.call.StoreReply;

/** Events that the claims journal handles. */
public sealed interface ClaimEvent {
    /**
     * A request with an idempotency key is ready to be dispatched.
     *
     * @param requestId id of the request; unique among the node's requests
     * @param upstream upstream that the request is sent to
     * @param caller caller that sent the request; keys of different callers are independent
     * @param key idempotency key
     * @param requestHash hash of method, path and body
     * @param retentionMillis time in milliseconds for which the key stays claimed
     * @param timeoutMillis timeout of the upstream call in milliseconds
     * @param receivedAtMillis monotonic time at which the node received the request, before it was queued in a ring
     *     buffer
     */
    record Request(
            RequestId requestId,
            UpstreamId upstream,
            CallerId caller,
            String key,
            String requestHash,
            long retentionMillis,
            long timeoutMillis,
            long receivedAtMillis)
            implements ClaimEvent {}

    /**
     * The caller of a request has disconnected; a claim that has not been granted yet is withdrawn.
     *
     * @param requestId id of the request
     */
    record Abandoned(RequestId requestId) implements ClaimEvent {}

    /**
     * The upstream answered a granted request.
     *
     * @param requestId id of the request
     * @param answer answer of the upstream
     */
    record Completed(RequestId requestId, ClaimAnswer answer) implements ClaimEvent {}

    /**
     * A granted request may have run, but no answer will arrive.
     *
     * @param requestId id of the request
     */
    record OutcomeUnknown(RequestId requestId) implements ClaimEvent {}

    /**
     * A granted request was not sent and never will be; its claim is removed.
     *
     * @param requestId id of the request
     */
    record NotRun(RequestId requestId) implements ClaimEvent {}

    /**
     * The platform replied to a {@link ClaimAction.Store}.
     *
     * @param reply reply to the call
     */
    record Reply(StoreReply reply) implements ClaimEvent {}

    /** Time has passed; expected at least every 50 ms while requests are waiting. */
    record Tick() implements ClaimEvent {}
}
