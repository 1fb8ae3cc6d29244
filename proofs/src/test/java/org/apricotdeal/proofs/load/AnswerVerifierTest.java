package org.apricotdeal.proofs.load;

import java.util.List;

import org.apricotdeal.lab.load.AnswerVerifier;
import org.apricotdeal.standins.engine.ExpectedAnswer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that every way in which an answer can be wrong is found. */
public final class AnswerVerifierTest {
    private static final String PROMPT = "parade in the evening";
    private static final List<String> TOKENS = ExpectedAnswer.to(PROMPT).tokens(3);

    private static String token(int offset, String text) {
        return "data: {\"choices\": [{\"index\": 0, \"text\": \"" + text + "\"}], \"offset\": " + offset + "}";
    }

    private static AnswerVerifier verify(String... lines) {
        AnswerVerifier verifier = new AnswerVerifier(PROMPT, 3);
        for (String line : lines) {
            verifier.take(line);
        }
        return verifier;
    }

    @Test
    public void wholeAnswerIsWhole() {
        AnswerVerifier verifier =
                verify(token(0, TOKENS.get(0)), "", token(1, TOKENS.get(1)), token(2, TOKENS.get(2)), "data: [DONE]");
        assertTrue(verifier.isWhole(), verifier.fault().toString());
    }

    @Test
    public void repeatedTokenIsFound() {
        AnswerVerifier verifier = verify(token(0, TOKENS.get(0)), token(0, TOKENS.get(0)));
        assertEquals(verifier.fault().orElseThrow(), "offset 0 in place of 1");
    }

    @Test
    public void missingTokenIsFound() {
        AnswerVerifier verifier = verify(token(0, TOKENS.get(0)), token(2, TOKENS.get(2)));
        assertEquals(verifier.fault().orElseThrow(), "offset 2 in place of 1");
    }

    @Test
    public void tokenOfAnotherAnswerIsFound() {
        AnswerVerifier verifier = verify(token(0, " zzzzz"));
        assertTrue(verifier.fault().orElseThrow().startsWith("token \" zzzzz\" at offset 0"));
    }

    @Test
    public void shortAnswerWithEndMarkIsWrong() {
        assertEquals(verify(token(0, TOKENS.get(0)), "data: [DONE]").fault().orElseThrow(), "1 tokens in place of 3");
    }

    @Test
    public void brokenOffAnswerIsIncompleteButNotWrong() {
        AnswerVerifier verifier =
                verify(token(0, TOKENS.get(0)), "event: error", "data: {\"error\": {\"outcome\": \"unknown\"}}");
        assertFalse(verifier.isWhole());
        assertTrue(verifier.fault().isEmpty());
        assertEquals(verifier.failedOutcome(), "unknown");
    }
}
