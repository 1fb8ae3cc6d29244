package org.apricotdeal.node.claims;

import java.util.function.Consumer;

import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.claims.ClaimEvent;

/** What requests with idempotency keys ask of the claims journal. */
public interface Claims {
    /**
     * Asks for a claim.
     *
     * @param request the request
     * @param onDecision takes the one decision on it; runs on the journal's thread and must not block
     */
    void claim(ClaimEvent.Request request, Consumer<ClaimAction> onDecision);

    /**
     * Reports how a granted request ended, or that its caller has gone.
     *
     * @param event the report
     */
    void report(ClaimEvent event);
}
