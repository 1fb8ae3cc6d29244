package org.apricotdeal.node.caller;

import org.apricotdeal.catalogue.model.ServiceEntry;

/** Accepts requests that have passed all checks. Each accepted request is answered exactly once, through its writer. */
public interface WorkIntake {
    /**
     * Submits a completion request.
     *
     * @param context caller, class, upstream and deadline of the request
     * @param body the parsed request body
     * @param writer writes the answer to the caller
     * @return false if the node is overloaded and did not accept the request
     */
    boolean submitCompletion(RequestContext context, CompletionBody body, CompletionWriter writer);

    /**
     * Submits a call to a plain service.
     *
     * @param context caller, class, upstream and deadline of the call
     * @param body the call to send to the service
     * @param service the service's entry in the catalogue
     * @param writer writes the answer to the caller
     * @return false if the node is overloaded and did not accept the call
     */
    boolean submitServiceCall(RequestContext context, ServiceCall body, ServiceEntry service, ServiceCallWriter writer);
}
