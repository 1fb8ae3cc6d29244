package org.apricotdeal.proofs.admission;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.policy.admission.AdmissionOptions;
import org.apricotdeal.policy.admission.Arrival;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.limits.ShareLedger;
import org.apricotdeal.policy.routing.LeastInFlightRouter;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetHealth;
import org.apricotdeal.policy.routing.TargetId;

/** A dispatcher with a small catalogue, a manual clock and a record of all actions. */
final class DispatcherFixture {
    static final UpstreamId MODEL = new UpstreamId("model");
    static final FailureDomainId DOMAIN = new FailureDomainId("a");
    static final NodeId NODE = new NodeId("node-1");

    final Dispatcher dispatcher;
    final List<DispatcherAction> allActions = new ArrayList<>();
    long nowMillis = 1_000;

    DispatcherFixture(List<Entry> entries, AdmissionOptions options, int targets, int streams) {
        dispatcher = new Dispatcher(
                new LeastInFlightRouter(),
                new ShareLedger(NODE, 1),
                RandomSource.XO_RO_SHI_RO_128_PP.create(7),
                options);
        send(new DispatcherEvent.NodesChanged(List.of(NODE)));
        send(new DispatcherEvent.CatalogueChanged(Catalogue.of(1, "c1", entries)));
        send(new DispatcherEvent.CapacityChanged(targets(targets, streams)));
    }

    static DispatcherFixture standard(int targets, int streams) {
        return new DispatcherFixture(entries(CallerWeighting.WEIGHTED), AdmissionOptions.DEFAULT, targets, streams);
    }

    static List<Entry> entries(CallerWeighting weighting) {
        List<Entry> entries = new ArrayList<>();
        entries.add(new ClassEntry(new ClassId("urgent"), "ops", 0, 0.5, 1_000, 10_000, false, 100));
        entries.add(new ClassEntry(new ClassId("booking"), "ops", 1, 0.25, 2_000, 10_000, false, 100));
        entries.add(new ClassEntry(new ClassId("overnight"), "ops", 2, 0.25, 600_000, 600_000, true, 1_000));
        entries.add(new ModelEntry(MODEL, "ops", 4, 5, 16, 60_000, OrderCheck.HONOURS_FENCING, 100, "", 1));
        entries.add(caller("small", 1, 1_000_000));
        entries.add(caller("large", 1, 1_000_000));
        entries.add(caller("limited", 1, 100));
        entries.add(caller("narrow", 1, 1_000_000, 4));
        entries.add(new PolicyEntry("ops", weighting, 0.1, 1_000, 3_000, 2.0));
        return entries;
    }

    static CallerEntry caller(String name, double weight, double tokensPerSecond) {
        return caller(name, weight, tokensPerSecond, 100_000);
    }

    static CallerEntry caller(String name, double weight, double tokensPerSecond, int maxInFlight) {
        return new CallerEntry(
                new CallerId(name),
                "ops",
                "0".repeat(64),
                weight,
                List.of(new ClassId("urgent"), new ClassId("booking"), new ClassId("overnight")),
                List.of(MODEL),
                tokensPerSecond,
                1_000_000,
                maxInFlight);
    }

    static List<Target> targets(int count, int streams) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new Target(new TargetId("r" + i), MODEL, DOMAIN, streams, TargetHealth.HEALTHY));
        }
        return targets;
    }

    static Arrival.Builder arrival(String id, String caller, String classId) {
        return Arrival.builder(new RequestId(id), new CallerId(caller))
                .classAndUpstream(new ClassId(classId), MODEL)
                .estimatedTokens(100)
                .resumable(true);
    }

    List<DispatcherAction> send(DispatcherEvent event) {
        List<DispatcherAction> actions = dispatcher.step(nowMillis, event);
        allActions.addAll(actions);
        return actions;
    }

    List<DispatcherAction> arrive(String id, String caller, String classId) {
        return send(new DispatcherEvent.Arrived(arrival(id, caller, classId).build()));
    }

    List<DispatcherAction> tickAt(long atMillis) {
        nowMillis = atMillis;
        return send(new DispatcherEvent.Tick());
    }

    static <T extends DispatcherAction> List<T> ofType(List<DispatcherAction> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
