package org.apricotdeal.node.caller;

import org.apricotdeal.catalogue.model.ServiceEntry;

/** Takes requests that have passed all checks; each is answered through its writer, exactly once. */
public interface WorkIntake {
    /**
     * Takes a completion.
     *
     * @param context who asks for what
     * @param body the request
     * @param writer takes the answer
     * @return false where the node is overloaded and has not taken the request
     */
    boolean takeCompletion(RequestContext context, CompletionBody body, AnswerWriter writer);

    /**
     * Takes a call to a plain service.
     *
     * @param context who asks for what
     * @param body the request
     * @param service the service
     * @param writer takes the answer
     * @return false where the node is overloaded and has not taken the request
     */
    boolean takeCall(RequestContext context, CallBody body, ServiceEntry service, CallWriter writer);
}
