package org.apricotdeal.proofs.relay;

import java.util.Comparator;
import java.util.List;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests what the large model keeps on days with losses in series, by the least of many seeds. A sweep by hand:
 * {@code -DlargeModelTail.seeds=1000}.
 */
public final class LargeModelTailTest {
    private static final int SEEDS = Integer.getInteger("largeModelTail.seeds", 40);
    private static final int SHOWN = 5;

    /** Least share of what is owed to the urgent class of the large model on such a day. */
    private static final double FLOOR = 0.25;

    @Test
    public void largeModelKeepsItsFloorOnTheWorstOfManyDays() {
        List<LargeModelTail.Result> results = LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(LargeModelTail::run)
                .sorted(Comparator.comparingDouble(LargeModelTail.Result::served))
                .toList();
        System.out.printf(
                "%d seeds: served least %.3f, hundredth %.3f, median %.3f%n",
                SEEDS,
                results.getFirst().served(),
                results.get(SEEDS / 100).served(),
                results.get(SEEDS / 2).served());
        results.subList(0, SHOWN).forEach(System.out::println);
        System.out.println("median: " + results.get(SEEDS / 2));
        assertTrue(results.getFirst().served() >= FLOOR, results.getFirst().toString());
    }
}
