package org.apricotdeal.node.claims;

import java.util.function.Consumer;

import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.claims.ClaimEvent;

/** The access to the claims journal for requests with idempotency keys. */
public interface Claims {
    /**
     * Requests a claim.
     *
     * @param request identifies the request and its idempotency key
     * @param onDecision is called once with the decision, on the thread of the journal; must not block
     */
    void claim(ClaimEvent.Request request, Consumer<ClaimAction> onDecision);

    /**
     * Reports the end of a granted request, or that its caller has disconnected.
     *
     * @param event the event to report
     */
    void report(ClaimEvent event);
}
