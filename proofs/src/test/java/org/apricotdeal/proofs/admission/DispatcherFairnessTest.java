package org.apricotdeal.proofs.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.admission.AdmissionOptions;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherAction.Dispatch;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.DispatcherEvent.Arrived;
import org.apricotdeal.policy.admission.DispatcherEvent.Finished;
import org.apricotdeal.policy.admission.DispatcherEvent.Progress;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how the capacity of a class is divided between callers over many requests. */
public final class DispatcherFairnessTest {
    private static final int TOKENS = 100;

    /** One target with one slot that serves a backlog and counts the requests served for each caller. */
    private static final class SingleSlotServer {
        private final DispatcherFixture fixture;
        private final Map<String, Integer> estimates;
        private final Map<String, Integer> answerTokens = new HashMap<>();
        private final Map<String, Integer> served = new HashMap<>();
        private final Deque<RequestId> running = new ArrayDeque<>();
        private int sequence;
        private long holdMillis = 10;

        private SingleSlotServer(List<Entry> entries, Map<String, Integer> estimates) {
            this.fixture = new DispatcherFixture(entries, AdmissionOptions.DEFAULT, 1, 1);
            this.estimates = estimates;
            for (String caller : estimates.keySet()) {
                answerTokens.put(caller, TOKENS);
            }
        }

        private void sendRequest(String caller) {
            String id = caller + "-" + sequence++;
            recordDispatches(fixture.send(new Arrived(DispatcherFixture.arrival(id, caller, "overnight")
                    .estimatedTokens(estimates.get(caller))
                    .build())));
        }

        private void recordDispatches(List<DispatcherAction> actions) {
            for (Dispatch dispatch : DispatcherFixture.ofType(actions, Dispatch.class)) {
                running.add(dispatch.request());
            }
        }

        /** Serves requests one after the other, and adds one request of each caller per request served. */
        private void serve(int requests) {
            for (int i = 0; i < requests; i++) {
                for (String caller : estimates.keySet()) {
                    sendRequest(caller);
                }
                RequestId id = running.poll();
                String caller = id.value().substring(0, id.value().indexOf('-'));
                fixture.nowMillis += holdMillis;
                for (int token = 10; token <= answerTokens.get(caller); token += 10) {
                    recordDispatches(fixture.send(new Progress(id, token)));
                }
                served.merge(caller, 1, Integer::sum);
                recordDispatches(fixture.send(new Finished(id, FinishOutcome.COMPLETED)));
            }
        }
    }

    @Test
    public void servesCallersInProportionToTheirWeights() {
        List<Entry> entries = DispatcherFixture.entries(CallerWeighting.WEIGHTED);
        entries.add(DispatcherFixture.caller("heavy", 3, 1_000_000));
        SingleSlotServer server = new SingleSlotServer(entries, Map.of("small", TOKENS, "heavy", TOKENS));
        server.serve(200);
        assertEquals(server.served.get("heavy"), 150, 4.0, server.served.toString());
    }

    @Test
    public void underestimatingCallerGainsNoAdvantage() {
        SingleSlotServer server = new SingleSlotServer(
                DispatcherFixture.entries(CallerWeighting.WEIGHTED), Map.of("small", TOKENS, "large", 1));
        server.serve(200);
        assertEquals(server.served.get("small"), 100, 4.0, server.served.toString());
    }

    @Test
    public void overestimatingCallerIsPlannedWithObservedLength() {
        int estimate = 50 * TOKENS;
        SingleSlotServer server =
                new SingleSlotServer(DispatcherFixture.entries(CallerWeighting.WEIGHTED), Map.of("small", estimate));
        server.holdMillis = 30 * TOKENS;
        server.serve(100);
        List<DispatcherAction> refused = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            List<DispatcherAction> actions =
                    server.fixture.send(new Arrived(DispatcherFixture.arrival("x" + i, "small", "overnight")
                            .estimatedTokens(estimate)
                            .deadlineMillis(100_000)
                            .build()));
            refused.addAll(DispatcherFixture.ofType(actions, DispatcherAction.Refuse.class));
        }
        assertTrue(refused.isEmpty(), "requests should be planned with the observed length: " + refused);
    }

    @Test
    public void weightAndWeightingChangesApplyToWaitingCallers() {
        List<Entry> entries = DispatcherFixture.entries(CallerWeighting.WEIGHTED);
        entries.add(DispatcherFixture.caller("heavy", 3, 1_000_000));
        SingleSlotServer server = new SingleSlotServer(entries, Map.of("small", TOKENS, "heavy", TOKENS));
        server.serve(100);
        List<Entry> changed = DispatcherFixture.entries(CallerWeighting.SMALL_FIRST);
        changed.add(DispatcherFixture.caller("heavy", 3, 1_000_000));
        server.fixture.send(new DispatcherEvent.CatalogueChanged(Catalogue.of(2, "c2", changed)));
        server.served.clear();
        server.serve(100);
        assertEquals(server.served.get("heavy"), 50, 4.0, "least use first, independent of weight: " + server.served);
        List<Entry> back = DispatcherFixture.entries(CallerWeighting.WEIGHTED);
        back.add(DispatcherFixture.caller("heavy", 9, 1_000_000));
        server.fixture.send(new DispatcherEvent.CatalogueChanged(Catalogue.of(3, "c3", back)));
        server.served.clear();
        server.serve(100);
        assertEquals(server.served.get("heavy"), 90, 4.0, "weight 9 to 1: " + server.served);
    }
}
