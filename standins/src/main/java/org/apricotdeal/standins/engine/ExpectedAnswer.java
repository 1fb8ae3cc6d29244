package org.apricotdeal.standins.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * The answer that every engine stand-in gives to a prompt. Each token depends on the prompt and its offset only, so that a
 * caller can verify an answer whole, whichever engines it came from.
 */
public final class ExpectedAnswer {
    private static final long OFFSET_STEP = 0x9E3779B97F4A7C15L;
    private static final long FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_MULTIPLIER = 0x94D049BB133111EBL;
    private static final long PROMPT_MULTIPLIER = 1_000_003L;
    private static final int RADIX = 36;
    private static final long DISTINCT_TOKENS = 60_466_176L;

    private final long promptHash;

    private ExpectedAnswer(long promptHash) {
        this.promptHash = promptHash;
    }

    /**
     * Prepares the answer to a prompt.
     *
     * @param prompt the prompt
     * @return the answer, without end
     */
    public static ExpectedAnswer to(String prompt) {
        long hash = prompt.length();
        for (int i = 0; i < prompt.length(); i++) {
            hash = hash * PROMPT_MULTIPLIER + prompt.charAt(i);
        }
        return new ExpectedAnswer(hash);
    }

    /**
     * Returns one token.
     *
     * @param offset its offset in the answer, from 0
     * @return its text: a space and up to five letters or digits
     */
    public String token(int offset) {
        long mixed = promptHash + (offset + 1) * OFFSET_STEP;
        mixed = (mixed ^ (mixed >>> 30)) * FIRST_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 27)) * SECOND_MULTIPLIER;
        mixed ^= mixed >>> 31;
        return " " + Long.toString(Long.remainderUnsigned(mixed, DISTINCT_TOKENS), RADIX);
    }

    /**
     * Returns the first tokens.
     *
     * @param count number of tokens
     * @return the tokens in order
     */
    public List<String> tokens(int count) {
        List<String> tokens = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            tokens.add(token(i));
        }
        return tokens;
    }

    /**
     * Returns a whole answer.
     *
     * @param prompt the prompt
     * @param maxTokens number of tokens asked for
     * @return the answer's text
     */
    public static String text(String prompt, int maxTokens) {
        return String.join("", to(prompt).tokens(maxTokens));
    }
}
