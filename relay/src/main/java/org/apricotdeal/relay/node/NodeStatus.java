package org.apricotdeal.relay.node;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.poison.HeldTraits;
import org.apricotdeal.relay.policy.ColdVm;
import org.apricotdeal.relay.policy.Evacuations;

/** Says whether a node in relay mode is ready, and answers the operators' question for its status. */
final class NodeStatus {
    /** Path of the status, the same as in the other mode. */
    static final String PATH = "/admin/status";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final RelaySettings settings;
    private final CatalogueHolder catalogues;
    private final EvacuationHolder evacuations;
    private final FleetDuty fleet;
    private final RelayDuty relay;
    private final SelectorProbe selectorProbe;
    private final Clock clock;
    private volatile boolean draining;

    /**
     * Creates the status of a node.
     *
     * @param settings settings of the node
     * @param catalogues catalogue in force
     * @param evacuations the operator's words
     * @param fleet the VMs, and the planners of this node
     * @param relay requests in progress
     * @param selectorProbe check of the reading thread
     * @param clock clock for the times shown
     */
    NodeStatus(
            RelaySettings settings,
            CatalogueHolder catalogues,
            EvacuationHolder evacuations,
            FleetDuty fleet,
            RelayDuty relay,
            SelectorProbe selectorProbe,
            Clock clock) {
        this.settings = settings;
        this.catalogues = catalogues;
        this.evacuations = evacuations;
        this.fleet = fleet;
        this.relay = relay;
        this.selectorProbe = selectorProbe;
        this.clock = clock;
    }

    /** Reports from now on that the node is not ready. */
    void drain() {
        draining = true;
    }

    /** Returns why the node is not ready; empty if it is. */
    Optional<String> notReadyReason() {
        if (draining) {
            return Optional.of("stopping");
        }
        if (catalogues.version() <= 0) {
            return Optional.of("no catalogue");
        }
        if (!evacuations.current().isKnown()) {
            return Optional.of("evacuations not known");
        }
        if (!fleet.hasPublishedTargets()) {
            return Optional.of("no list of VMs");
        }
        return selectorProbe.isResponsive() ? Optional.empty() : Optional.of("reading thread held up");
    }

    /** Returns the status as a JSON object. */
    String json() {
        Optional<String> reason = notReadyReason();
        Evacuations words = evacuations.current();
        ObjectNode root = JSON.createObjectNode();
        root.put("node", settings.name());
        root.put("failureDomain", settings.failureDomain().value());
        root.put("ready", reason.isEmpty());
        root.put("reason", reason.orElse(""));
        root.put("catalogueVersion", catalogues.version());
        root.put("planner", fleet.planner());
        ArrayNode plans = root.putArray("plans");
        fleet.plans().stream().map(Object::toString).sorted().forEach(plans::add);
        root.put("inProgress", relay.inProgress());
        root.put("waiting", relay.waiting());
        root.put("targets", fleet.targetCount());
        root.put("isolated", fleet.isIsolated());
        root.put("storeIncarnation", words.revision().incarnation());
        root.put("evacuationsKnown", words.isKnown());
        root.put("evacuationsRevision", words.revision().number());
        addEvacuations(root.putArray("evacuations"), words);
        addColdVms(root.putArray("coldVms"));
        addBlamedTraits(root.putArray("blamedTraits"));
        return root.toString();
    }

    private void addEvacuations(ArrayNode array, Evacuations words) {
        Map<FailureDomainId, Integer> running = fleet.runningInEvacuated();
        new TreeMap<>(words.sinceRevision()).forEach((domain, revision) -> {
            ObjectNode entry = array.addObject();
            entry.put("failureDomain", domain.value());
            entry.put("revision", revision);
            evacuations.knownForMillis(domain).ifPresent(forMillis -> {
                entry.put(
                        "since",
                        Instant.ofEpochMilli(clock.wallMillis() - forMillis).toString());
                entry.put("forMillis", forMillis);
            });
            if (running.containsKey(domain)) {
                entry.put("running", running.get(domain));
            }
        });
    }

    private void addColdVms(ArrayNode array) {
        long nowMillis = clock.monotonicMillis();
        List<Map.Entry<VmId, ColdVm>> cold = fleet.coldVms().entrySet().stream()
                .filter(entry -> nowMillis < entry.getValue().untilMillis())
                .sorted(Map.Entry.comparingByKey())
                .toList();
        for (Map.Entry<VmId, ColdVm> vm : cold) {
            ObjectNode entry = array.addObject();
            entry.put("vm", vm.getKey().value());
            entry.put("forMillis", vm.getValue().untilMillis() - nowMillis);
            entry.put("maxPerSecond", vm.getValue().maxPerSecond());
        }
    }

    private void addBlamedTraits(ArrayNode array) {
        long nowMillis = clock.monotonicMillis();
        List<HeldTraits> blamed = relay.crashNews().blamed().stream()
                .sorted(Comparator.comparing(
                                (HeldTraits held) -> held.blame().served().toString())
                        .thenComparingLong(held -> held.blame().lastCrashMillis()))
                .toList();
        for (HeldTraits held : blamed) {
            ObjectNode entry = array.addObject();
            entry.put("served", held.blame().served().toString());
            ArrayNode traits = entry.putArray("traits");
            held.traits().stream().map(Object::toString).sorted().forEach(traits::add);
            entry.put("lastCrashAgeMillis", nowMillis - held.blame().lastCrashMillis());
            entry.put("certain", held.blame().certain());
            entry.put("trials", held.trialCount());
            entry.put("heldForMillis", Math.max(0, held.heldUntilMillis() - nowMillis));
        }
    }
}
