package org.apricotdeal.node.caller;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.result.Result;

/**
 * The body of a completion request.
 *
 * @param model name of the upstream that serves the model
 * @param prompt text to complete
 * @param maxTokens maximum number of tokens in the answer
 * @param stream whether the answer is sent token by token
 * @param requestId id assigned by the node that forwarded the request; empty if the request comes from a caller
 */
public record CompletionBody(String model, String prompt, int maxTokens, boolean stream, String requestId) {
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    static Result<CompletionBody, Failure> parse(byte[] bytes, int maxTokensLimit) {
        JsonNode root;
        try {
            root = JSON.readTree(bytes);
        } catch (IOException e) {
            return FailedCheck.badRequest("the body is no JSON");
        }
        if (root == null || !root.isObject()) {
            return FailedCheck.badRequest("the body is no JSON object");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual() || !Names.isValid(model.textValue())) {
            return FailedCheck.badRequest("model: expected the name of an upstream");
        }
        JsonNode prompt = root.path("prompt");
        if (!prompt.isTextual()) {
            return FailedCheck.badRequest("prompt: expected a text");
        }
        JsonNode maxTokens = root.path("max_tokens");
        if (!maxTokens.isMissingNode() && !maxTokens.canConvertToInt()) {
            return FailedCheck.badRequest("max_tokens: expected a whole number");
        }
        int tokens = maxTokens.asInt(DEFAULT_MAX_TOKENS);
        if (tokens < 1 || tokens > maxTokensLimit) {
            return FailedCheck.badRequest("max_tokens: found " + tokens + ", expected 1 to " + maxTokensLimit);
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            return FailedCheck.badRequest("stream: expected true or false");
        }
        return Result.ok(new CompletionBody(
                model.textValue(),
                prompt.textValue(),
                tokens,
                stream.asBoolean(false),
                root.path("request_id").asText("")));
    }
}
