package org.apricotdeal.standins.engine;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request for a token stream as the engine received it.
 *
 * @param requestId name of the request
 * @param model the model asked for
 * @param prompt the prompt
 * @param maxTokens tokens of the whole answer
 * @param priority 0 is most urgent
 * @param generatedTokens number of tokens that an earlier stream has given
 */
record DecodeRequest(String requestId, String model, String prompt, int maxTokens, int priority, int generatedTokens) {
    private static final int MAX_TOKENS = 1_000_000;

    /**
     * Reads a request.
     *
     * @param json the JSON object
     * @return the request
     * @throws IllegalArgumentException where the JSON is no request that the engine can serve
     */
    static DecodeRequest read(JsonNode json) {
        int maxTokens = json.path("max_tokens").asInt();
        String requestId = json.path("request_id").asText();
        if (!json.path("stream").asBoolean()) {
            throw new IllegalArgumentException("only streams are served");
        }
        if (maxTokens < 0 || maxTokens > MAX_TOKENS || requestId.isEmpty()) {
            throw new IllegalArgumentException("request_id, or max_tokens from 0 to " + MAX_TOKENS + ", is missing");
        }
        String prompt = json.path("prompt").asText();
        JsonNode generated = json.path("generated");
        List<String> expected = ExpectedAnswer.to(prompt).tokens(Math.min(generated.size(), maxTokens));
        for (int i = 0; i < expected.size(); i++) {
            if (!expected.get(i).equals(generated.get(i).asText())) {
                throw new IllegalArgumentException("generated token " + i + " is not one of this prompt's answer");
            }
        }
        return new DecodeRequest(
                requestId,
                json.path("model").asText(),
                prompt,
                maxTokens,
                json.path("priority").asInt(),
                generated.size());
    }
}
