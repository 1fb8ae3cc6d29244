package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that get neither an answer nor a refusal beside changes of the catalogue, silent VMs and graceful
 * stops. {@code -DanswersSoak.seeds=} and {@code -DanswersSoak.firstSeed=} set what is run.
 */
public final class AnswersSoakTest {
    private static final int SEEDS = Integer.getInteger("answersSoak.seeds", 8);
    private static final long FIRST_SEED = Long.getLong("answersSoak.firstSeed", 1);
    private static final int RUNS_AT_A_TIME = 4;

    @Test(groups = "known-red")
    public void eachRequestSentWholeIsAnswered() throws Exception {
        List<String> lost = new ArrayList<>();
        try (ExecutorService runs = Executors.newFixedThreadPool(RUNS_AT_A_TIME)) {
            List<Future<List<String>>> results = LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                    .mapToObj(seed -> runs.submit(() -> run(seed, false)))
                    .toList();
            for (Future<List<String>> result : results) {
                lost.addAll(result.get());
            }
        }
        assertTrue(lost.isEmpty(), String.join("\n", lost));
    }

    @Test
    public void nodeThatEndsAtOnceIsFound() throws Exception {
        assertFalse(run(FIRST_SEED, true).isEmpty());
    }

    private static List<String> run(long seed, boolean abrupt) throws Exception {
        try (AnswersSoak soak = new AnswersSoak(seed, abrupt)) {
            List<String> lost = soak.run();
            System.out.println("answers soak, seed " + seed + (abrupt ? ", abrupt: " : ": ") + soak.counts);
            return lost;
        }
    }
}
