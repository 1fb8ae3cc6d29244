package org.apricotdeal.engine;

import java.util.List;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A request for a token stream.
 *
 * @param id id of the request
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens maximum number of tokens of the whole answer
 * @param priority priority of the request's class; 0 is the most urgent
 * @param generated tokens generated so far, after which the engine resumes; empty for a new stream
 */
public record CompletionRequest(
        RequestId id, UpstreamId model, String prompt, int maxTokens, int priority, List<String> generated) {
    /** Copies the list. */
    public CompletionRequest {
        generated = List.copyOf(generated);
    }
}
