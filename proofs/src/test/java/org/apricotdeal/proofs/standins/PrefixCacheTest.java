package org.apricotdeal.proofs.standins;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotdeal.engine.PromptPrefixHashes;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.standins.engine.CacheEventLog;
import org.apricotdeal.standins.engine.PrefixCache;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@link PrefixCache} and its events in virtual time. */
public final class PrefixCacheTest {
    private static final long LAG_MILLIS = 500;
    private static final long SEED = 7;
    private static final int MAX_BLOCKS = 64;

    private final Scheduler scheduler = new Scheduler(1);

    @Test
    public void promptsWithACommonBeginningShareIt() {
        PrefixCache cache = new PrefixCache(100, log(0));
        String common = "c".repeat(2 * PromptPrefixHashes.BLOCK_CHARS);
        String first = common + "a".repeat(2 * PromptPrefixHashes.BLOCK_CHARS);
        String second = common + "b".repeat(2 * PromptPrefixHashes.BLOCK_CHARS);
        assertEquals(cache.compute(first), 1.0);
        assertEquals(cache.compute(second), 0.5);
        assertEquals(cache.compute(first), 0.0);
        assertEquals(cache.usedShare(), 0.06);
    }

    @Test
    public void sameBlockAfterAnotherBeginningIsAnotherPrefix() {
        String block = "x".repeat(PromptPrefixHashes.BLOCK_CHARS);
        List<String> alone = PromptPrefixHashes.of(block, MAX_BLOCKS);
        List<String> later = PromptPrefixHashes.of("y".repeat(PromptPrefixHashes.BLOCK_CHARS) + block, MAX_BLOCKS);
        Set<String> names = new HashSet<>(alone);
        names.addAll(later);
        assertEquals(names.size(), 3);
    }

    @Test
    public void leastRecentlyUsedPrefixMakesRoom() {
        CacheEventLog log = log(0);
        PrefixCache cache = new PrefixCache(2, log);
        cache.compute(prompt(1));
        cache.compute(prompt(2));
        cache.compute(prompt(1));
        cache.compute(prompt(3));
        scheduler.runUntil(scheduler.monotonicMillis() + LAG_MILLIS);
        assertEquals(
                events(log, 0),
                List.of("1 stored " + name(1), "2 stored " + name(2), "3 evicted " + name(2), "4 stored " + name(3)));
    }

    @Test
    public void eventsArePublishedLate() {
        CacheEventLog log = log(0);
        log.add(CacheEventLog.Kind.STORED, "p1");
        scheduler.runUntil(scheduler.monotonicMillis() + LAG_MILLIS - 1);
        assertEquals(events(log, 0), List.of());
        scheduler.runUntil(scheduler.monotonicMillis() + 1);
        assertEquals(events(log, 0), List.of("1 stored p1"));
        assertEquals(events(log, 1), List.of());
    }

    @Test
    public void lostEventsLeaveGapsInTheSequence() {
        CacheEventLog log = log(0.3);
        int added = 1_000;
        for (int i = 1; i <= added; i++) {
            log.add(CacheEventLog.Kind.STORED, "p" + i);
        }
        scheduler.runUntil(scheduler.monotonicMillis() + LAG_MILLIS);
        List<String> published = events(log, 0);
        for (String event : published) {
            String[] words = event.split(" ", -1);
            assertEquals(words[2], "p" + words[0]);
        }
        int lost = added - published.size();
        assertTrue(lost > 250 && lost < 350, lost + " events lost");
    }

    private CacheEventLog log(double lossShare) {
        return new CacheEventLog(scheduler, LAG_MILLIS, lossShare, SEED);
    }

    private static List<String> events(CacheEventLog log, long after) {
        List<String> events = new ArrayList<>();
        for (JsonNode event : log.json(after).path("events")) {
            events.add(event.path("sequence").asLong() + " "
                    + event.path("kind").asText() + " "
                    + event.path("prefix").asText());
        }
        return events;
    }

    private static String prompt(int number) {
        return Integer.toString(number).repeat(PromptPrefixHashes.BLOCK_CHARS);
    }

    private static String name(int number) {
        return PromptPrefixHashes.of(prompt(number), 1).getFirst();
    }
}
