package org.apricotdeal.policy.claims;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.platform.call.StoreReply;

/** What the claims journal is told. */
public sealed interface ClaimEvent {
    /**
     * A request with an idempotency key wants to be dispatched.
     *
     * @param requestId the request; unique among the node's requests
     * @param upstream the upstream
     * @param caller the caller; keys of different callers never meet
     * @param key the idempotency key
     * @param requestHash hash of method, path and body
     * @param retentionMillis time for which the key stays claimed
     * @param timeoutMillis timeout of the call at the upstream
     * @param receivedAtMillis monotonic time at which the node received the request, before it waited in any ring
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
     * The caller of a request has gone; where its claim is not granted yet, it is given up.
     *
     * @param requestId the request
     */
    record Abandoned(RequestId requestId) implements ClaimEvent {}

    /**
     * The upstream answered a granted request.
     *
     * @param requestId the request
     * @param answer the answer
     */
    record Completed(RequestId requestId, ClaimAnswer answer) implements ClaimEvent {}

    /**
     * A granted request may have run; no answer will come.
     *
     * @param requestId the request
     */
    record OutcomeUnknown(RequestId requestId) implements ClaimEvent {}

    /**
     * A granted request was certainly not sent and never will be; its claim is given back.
     *
     * @param requestId the request
     */
    record NotRun(RequestId requestId) implements ClaimEvent {}

    /**
     * The platform replied.
     *
     * @param reply the reply
     */
    record Reply(StoreReply reply) implements ClaimEvent {}

    /** Time has passed; expected at least every 50 ms while requests wait. */
    record Tick() implements ClaimEvent {}
}
