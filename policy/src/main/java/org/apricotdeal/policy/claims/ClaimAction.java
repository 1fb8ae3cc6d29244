package org.apricotdeal.policy.claims;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.platform.call.StoreCall;

/** Actions that the claims journal requests from the component that runs it. */
public sealed interface ClaimAction {
    /**
     * Call the platform's key-value service; the reply is returned as {@link ClaimEvent.Reply}.
     *
     * @param call call to send
     */
    record Store(StoreCall call) implements ClaimAction {}

    /**
     * Dispatch the request exactly once. Its outcome is reported by {@link ClaimEvent.Completed},
     * {@link ClaimEvent.OutcomeUnknown} or {@link ClaimEvent.NotRun}.
     *
     * @param requestId id of the request
     * @param claimId id of its claim
     * @param dispatchByMillis monotonic time in milliseconds after which the request must not be sent
     */
    record Granted(RequestId requestId, String claimId, long dispatchByMillis) implements ClaimAction {}

    /**
     * Refuse the request; it will not be granted later.
     *
     * @param requestId id of the request
     * @param reason reason for the refusal
     * @param retryAfterMillis time in milliseconds after which a retry may succeed; 0 if a retry cannot succeed
     */
    record Refused(RequestId requestId, ClaimRefusal reason, long retryAfterMillis) implements ClaimAction {}

    /**
     * Answer the request with the recorded answer of an earlier request with the same key.
     *
     * @param requestId id of the request
     * @param answer recorded answer
     */
    record Replay(RequestId requestId, ClaimAnswer answer) implements ClaimAction {}
}
