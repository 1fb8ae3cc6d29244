package org.apricotdeal.policy.claims;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.platform.call.StoreCall;

/** What the claims journal asks its owner to do. */
public sealed interface ClaimAction {
    /**
     * Call the platform and return its reply as {@link ClaimEvent.Reply}.
     *
     * @param call the call
     */
    record Store(StoreCall call) implements ClaimAction {}

    /**
     * Dispatch the request, once. Its outcome is reported by {@link ClaimEvent.Completed},
     * {@link ClaimEvent.OutcomeUnknown} or {@link ClaimEvent.NotRun}.
     *
     * @param requestId the request
     * @param claimId id of its claim
     * @param dispatchByMillis monotonic time after which it must not be sent any more
     */
    record Granted(RequestId requestId, String claimId, long dispatchByMillis) implements ClaimAction {}

    /**
     * Refuse the request; it will not be granted.
     *
     * @param requestId the request
     * @param reason why
     * @param retryAfterMillis time after which a retry can help; 0 where none does
     */
    record Refused(RequestId requestId, ClaimRefusal reason, long retryAfterMillis) implements ClaimAction {}

    /**
     * Answer the request with the recorded answer of an earlier one with the same key.
     *
     * @param requestId the request
     * @param answer the recorded answer
     */
    record Replay(RequestId requestId, ClaimAnswer answer) implements ClaimAction {}
}
