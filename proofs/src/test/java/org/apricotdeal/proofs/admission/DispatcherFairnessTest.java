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

/** Tests how callers share a class over many requests. */
public final class DispatcherFairnessTest {
    private static final int TOKENS = 100;

    /** One slot that serves a backlog, and what each caller got of it. */
    private static final class Slot {
        private final Sessions session;
        private final Map<String, Integer> estimates;
        private final Map<String, Integer> tokensOf = new HashMap<>();
        private final Map<String, Integer> served = new HashMap<>();
        private final Deque<RequestId> running = new ArrayDeque<>();
        private int sequence;
        private long holdMillis = 10;

        private Slot(List<Entry> entries, Map<String, Integer> estimates) {
            this.session = new Sessions(entries, AdmissionOptions.DEFAULT, 1, 1);
            this.estimates = estimates;
            for (String caller : estimates.keySet()) {
                tokensOf.put(caller, TOKENS);
            }
        }

        private void ask(String caller) {
            String id = caller + "-" + sequence++;
            collect(session.send(new Arrived(Sessions.arrival(id, caller, "overnight")
                    .estimatedTokens(estimates.get(caller))
                    .build())));
        }

        private void collect(List<DispatcherAction> actions) {
            for (Dispatch dispatch : Sessions.only(actions, Dispatch.class)) {
                running.add(dispatch.request());
            }
        }

        /** Serves requests one after the other; each caller always has some waiting. */
        private void serve(int requests) {
            for (int i = 0; i < requests; i++) {
                for (String caller : estimates.keySet()) {
                    ask(caller);
                }
                RequestId id = running.poll();
                String caller = id.value().substring(0, id.value().indexOf('-'));
                session.nowMillis += holdMillis;
                for (int token = 10; token <= tokensOf.get(caller); token += 10) {
                    collect(session.send(new Progress(id, token)));
                }
                served.merge(caller, 1, Integer::sum);
                collect(session.send(new Finished(id, FinishOutcome.COMPLETED)));
            }
        }
    }

    @Test
    public void callersGetWorkInProportionToTheirWeights() {
        List<Entry> entries = Sessions.entries(CallerWeighting.WEIGHTED);
        entries.add(Sessions.caller("heavy", 3, 1_000_000));
        Slot slot = new Slot(entries, Map.of("small", TOKENS, "heavy", TOKENS));
        slot.serve(200);
        assertEquals(slot.served.get("heavy"), 150, 4.0, slot.served.toString());
    }

    @Test
    public void callerThatUnderstatesItsAnswersGainsNothing() {
        Slot slot = new Slot(Sessions.entries(CallerWeighting.WEIGHTED), Map.of("small", TOKENS, "large", 1));
        slot.serve(200);
        assertEquals(slot.served.get("small"), 100, 4.0, slot.served.toString());
    }

    @Test
    public void callerThatOverstatesItsAnswersIsNotRefusedForLong() {
        int estimate = 50 * TOKENS;
        Slot slot = new Slot(Sessions.entries(CallerWeighting.WEIGHTED), Map.of("small", estimate));
        slot.holdMillis = 30 * TOKENS;
        slot.serve(100);
        List<DispatcherAction> refused = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            List<DispatcherAction> actions =
                    slot.session.send(new Arrived(Sessions.arrival("x" + i, "small", "overnight")
                            .estimatedTokens(estimate)
                            .deadlineMillis(100_000)
                            .build()));
            refused.addAll(Sessions.only(actions, DispatcherAction.Refuse.class));
        }
        assertTrue(refused.isEmpty(), "planned with the observed length: " + refused);
    }

    @Test
    public void changesOfWeightAndWeightingAreInForceWhileCallersWait() {
        List<Entry> entries = Sessions.entries(CallerWeighting.WEIGHTED);
        entries.add(Sessions.caller("heavy", 3, 1_000_000));
        Slot slot = new Slot(entries, Map.of("small", TOKENS, "heavy", TOKENS));
        slot.serve(100);
        List<Entry> changed = Sessions.entries(CallerWeighting.SMALL_FIRST);
        changed.add(Sessions.caller("heavy", 3, 1_000_000));
        slot.session.send(new DispatcherEvent.CatalogueChanged(Catalogue.of(2, "c2", changed)));
        slot.served.clear();
        slot.serve(100);
        assertEquals(slot.served.get("heavy"), 50, 4.0, "least use first, whatever the weight: " + slot.served);
        List<Entry> back = Sessions.entries(CallerWeighting.WEIGHTED);
        back.add(Sessions.caller("heavy", 9, 1_000_000));
        slot.session.send(new DispatcherEvent.CatalogueChanged(Catalogue.of(3, "c3", back)));
        slot.served.clear();
        slot.serve(100);
        assertEquals(slot.served.get("heavy"), 90, 4.0, "weight 9 to 1: " + slot.served);
    }
}
