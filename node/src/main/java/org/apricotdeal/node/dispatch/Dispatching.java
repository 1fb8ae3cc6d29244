package org.apricotdeal.node.dispatch;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.admission.Arrival;
import org.apricotdeal.policy.admission.FinishOutcome;

/** What the node's requests tell the dispatcher. */
public interface Dispatching {
    /**
     * A request has arrived.
     *
     * @param arrival the request
     * @param listener takes the decisions on it
     * @return false where the dispatcher is overloaded and has not taken the request
     */
    boolean arrive(Arrival arrival, DispatchListener listener);

    /**
     * Tokens of a request have come.
     *
     * @param request the request
     * @param tokens tokens of the whole answer so far
     */
    void progress(RequestId request, int tokens);

    /**
     * An attempt has ended.
     *
     * @param request the request
     * @param outcome how
     */
    void finished(RequestId request, FinishOutcome outcome);

    /**
     * The caller has gone.
     *
     * @param request the request
     */
    void cancelled(RequestId request);
}
