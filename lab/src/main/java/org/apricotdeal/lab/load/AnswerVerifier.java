package org.apricotdeal.lab.load;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.standins.engine.ExpectedAnswer;

/**
 * Verifies a streamed completion line by line against the answer that every engine gives to its prompt. A token must stand
 * at the next offset and be the expected one, so that a token that is repeated, left out, or belongs to another request
 * is found at once. The answer is whole when all tokens were followed by the end mark.
 */
public final class AnswerVerifier {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String END = "[DONE]";

    private final ExpectedAnswer expected;
    private final int maxTokens;
    private int tokens;
    private boolean hasEnded;
    private String fault = "";
    private String failedOutcome = "";
    private boolean nextDataIsError;

    /**
     * Creates a verifier.
     *
     * @param prompt the request's prompt
     * @param maxTokens number of tokens asked for
     */
    public AnswerVerifier(String prompt, int maxTokens) {
        this.expected = ExpectedAnswer.to(prompt);
        this.maxTokens = maxTokens;
    }

    /**
     * Takes a line of the answer.
     *
     * @param line the line, without its end
     * @return true where the line was a token
     */
    public boolean take(String line) {
        if (line.startsWith("event:")) {
            nextDataIsError = line.contains("error");
            return false;
        }
        if (!line.startsWith(DATA)) {
            return false;
        }
        String data = line.substring(DATA.length()).trim();
        if (data.equals(END)) {
            hasEnded = true;
            return false;
        }
        try {
            JsonNode event = JSON.readTree(data);
            if (nextDataIsError || event.has("error")) {
                failedOutcome = event.path("error").path("outcome").asText("unknown");
                return false;
            }
            return takeToken(event);
        } catch (JsonProcessingException e) {
            note("not JSON: " + data);
            return false;
        }
    }

    private boolean takeToken(JsonNode event) {
        String text = event.path("choices").path(0).path("text").asText();
        if (text.isEmpty()) {
            return false;
        }
        int offset = event.path("offset").asInt(-1);
        if (hasEnded) {
            note("token after the end mark");
        }
        if (offset != tokens) {
            note("offset " + offset + " in place of " + tokens);
        }
        if (!text.equals(expected.token(tokens))) {
            note("token \"" + text + "\" at offset " + tokens + " in place of \"" + expected.token(tokens) + "\"");
        }
        tokens++;
        return true;
    }

    private void note(String what) {
        if (fault.isEmpty()) {
            fault = what;
        }
    }

    /**
     * Returns how many tokens have arrived.
     *
     * @return number of tokens
     */
    public int tokens() {
        return tokens;
    }

    /**
     * Tells whether the answer is whole.
     *
     * @return true where all tokens and the end mark have arrived
     */
    public boolean isWhole() {
        return hasEnded && tokens == maxTokens && fault.isEmpty();
    }

    /**
     * Returns what is wrong with the answer; an answer that broke off is not wrong but incomplete.
     *
     * @return the first fault, or nothing
     */
    public Optional<String> fault() {
        if (fault.isEmpty() && hasEnded && tokens != maxTokens) {
            return Optional.of(tokens + " tokens in place of " + maxTokens);
        }
        return fault.isEmpty() ? Optional.empty() : Optional.of(fault);
    }

    /**
     * Returns the outcome that an error within the stream names.
     *
     * @return the outcome's word, or an empty text
     */
    public String failedOutcome() {
        return failedOutcome;
    }
}
