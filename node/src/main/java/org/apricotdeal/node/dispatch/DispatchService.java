package org.apricotdeal.node.dispatch;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.admission.Arrival;
import org.apricotdeal.policy.admission.FinishOutcome;

/** Interface through which requests in progress use the dispatcher. */
public interface DispatchService {
    /**
     * Submits a new request.
     *
     * @param arrival the request
     * @param listener receives the decisions on the request
     * @return false if the dispatcher is overloaded and has not accepted the request
     */
    boolean submit(Arrival arrival, DispatchListener listener);

    /**
     * Reports that tokens of a request's answer were received.
     *
     * @param request the request
     * @param tokens number of tokens of the answer so far, over all attempts
     */
    void reportProgress(RequestId request, int tokens);

    /**
     * Reports that the current attempt at a request has ended.
     *
     * @param request the request
     * @param outcome how the attempt ended
     */
    void attemptEnded(RequestId request, FinishOutcome outcome);

    /**
     * Cancels a request whose caller has disconnected.
     *
     * @param request the request
     */
    void cancel(RequestId request);
}
