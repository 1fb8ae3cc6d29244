package org.apricotdeal.proofs.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.catalogue.change.AcceptedChange;
import org.apricotdeal.catalogue.change.CatalogueChange;
import org.apricotdeal.catalogue.change.ChangeOutcome;
import org.apricotdeal.catalogue.change.StoredCatalogue;
import org.apricotdeal.catalogue.change.StoredCatalogueCodec;
import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.platform.VersionedValue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/** Lets operators race each other on a key-value service that is slow, away, and loses replies after the write. */
public final class CatalogueRaceTest {
    private static final int SEEDS = 60;
    private static final int OPERATORS = 40;
    private static final int CALLERS = 6;
    private static final long RUN_MILLIS = 75_000;

    /** One run and what was seen in it. */
    private static final class Run {
        private final Scheduler scheduler;
        private final SimStore store;
        private final List<SimOperator> operators = new ArrayList<>();
        private long observedRevision;
        private final Map<Long, String> digests = new HashMap<>();
        private final Map<String, AcceptedChange> history = new TreeMap<>();

        Run(long seed) {
            scheduler = new Scheduler(seed);
            Network network = new Network(scheduler, 500, 3_000);
            network.faults(0.05, 0.05);
            store = new SimStore(scheduler, network);
        }

        Optional<StoredCatalogue> stored() {
            return store.peek(StoredCatalogue.KEY).map(value -> {
                Result<StoredCatalogue, String> decoded = StoredCatalogueCodec.decode(value.value());
                return decoded instanceof Result.Ok<StoredCatalogue, String>(StoredCatalogue read) ? read : null;
            });
        }

        /** Notes every version that ever was in force; no number may stand for two contents. */
        void observe() {
            long revision = store.peek(StoredCatalogue.KEY)
                    .map(VersionedValue::revision)
                    .orElse(0L);
            if (revision == observedRevision) {
                return;
            }
            observedRevision = revision;
            stored().ifPresent(now -> {
                String digest = CatalogueCodec.digest(now.catalogue());
                String before = digests.putIfAbsent(now.catalogue().version(), digest);
                assertTrue(
                        before == null || before.equals(digest),
                        "two catalogues of version " + now.catalogue().version());
                now.recentChanges().forEach(change -> {
                    AcceptedChange known = history.putIfAbsent(change.changeId(), change);
                    assertTrue(known == null || known.equals(change), known + " became " + change);
                });
            });
        }

        void shakeStore() {
            UniformRandomProvider random = scheduler.random();
            store.away(random.nextDouble() < 0.15);
            store.lostReplies(random.nextDouble() < 0.5 ? 0.4 : 0);
            store.slow(random.nextDouble() < 0.2 ? 1_500 : 0);
        }

        void startOperator(int number) {
            UniformRandomProvider random = scheduler.random();
            long version = stored().map(now -> now.catalogue().version()).orElse(0L);
            CatalogueChange.Builder change = CatalogueChange.builder("change-" + number, version);
            if (version == 0) {
                change.putAll(CatalogueFixtures.base());
            }
            for (int i = 0; i <= random.nextInt(2); i++) {
                change.put(CatalogueFixtures.caller("caller-" + random.nextInt(CALLERS), 1 + number));
            }
            boolean mayRebase = random.nextBoolean();
            operators.add(new SimOperator("operator-" + number, scheduler, store, change.build(), mayRebase).start());
        }
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void everyOperatorIsToldTheTruth(long seed) {
        Run run = new Run(seed);
        for (int i = 0; i < OPERATORS; i++) {
            int number = i;
            run.scheduler.after(1_000 + run.scheduler.random().nextInt(60_000), () -> run.startOperator(number));
        }
        run.scheduler.every(2_000, run::shakeStore);
        run.scheduler.every(1, run::observe);
        run.scheduler.runUntil(RUN_MILLIS);
        run.observe();
        checkOutcomes(run);
        checkNothingReverted(run);
    }

    private static void checkOutcomes(Run run) {
        for (SimOperator operator : run.operators) {
            ChangeOutcome outcome = operator.outcome().orElseThrow();
            AcceptedChange accepted = run.history.get(operator.change().changeId());
            switch (outcome) {
                case ChangeOutcome.Accepted ok ->
                    assertEquals(
                            accepted == null ? -1 : accepted.version(),
                            ok.version(),
                            operator.change().changeId());
                case ChangeOutcome.Unknown unknown -> {}
                case ChangeOutcome.Invalid invalid ->
                    throw new AssertionError(invalid.findings().toString());
                default -> assertNull(accepted, outcome + " but accepted");
            }
        }
    }

    /** Replays the accepted changes in the order of their versions; the result must be what is in force. */
    private static void checkNothingReverted(Run run) {
        Map<Long, CatalogueChange> byVersion = new TreeMap<>();
        for (SimOperator operator : run.operators) {
            AcceptedChange accepted = run.history.get(operator.change().changeId());
            if (accepted != null) {
                assertNull(byVersion.put(accepted.version(), operator.change()), "two changes made one version");
            }
        }
        Map<String, Entry> replayed = new TreeMap<>();
        byVersion.values().forEach(change -> replayed.putAll(change.puts()));
        StoredCatalogue last = run.stored().orElseThrow();
        assertEquals(last.catalogue().entries(), replayed);
        assertEquals(last.catalogue().version(), byVersion.size());
        assertTrue(last.catalogue().all(CallerEntry.class).size() > 1, "the run has changed next to nothing");
    }
}
