package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.policy.Evacuations;
import org.apricotdeal.relay.port.StoreRevision;

/** Holds the failure domains that the operator evacuates, whose revision never becomes an earlier one within a process. */
final class EvacuationHolder {
    private final Set<FailureDomainId> knownDomains;
    private final Clock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final CopyOnWriteArrayList<Consumer<Set<FailureDomainId>>> listeners = new CopyOnWriteArrayList<>();
    private final Map<FailureDomainId, Long> heardMillis = new ConcurrentHashMap<>();
    private volatile Evacuations current = Evacuations.UNKNOWN;

    /**
     * Creates a holder that knows nothing yet.
     *
     * @param knownDomains failure domains of the deployment; others are obeyed as well, with a log line
     * @param clock clock for the time since which a failure domain is evacuated
     * @param log log for the operator's words
     * @param metrics receives a gauge of the revision, and one for each evacuated failure domain
     */
    EvacuationHolder(List<FailureDomainId> knownDomains, Clock clock, DecisionLog log, MetricRegistry metrics) {
        this.knownDomains = Set.copyOf(knownDomains);
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        metrics.register(
                "evacuations.revision", (Gauge<Long>) () -> current.revision().number());
        metrics.register("evacuations.incarnation", (Gauge<Long>)
                () -> current.revision().incarnation());
        metrics.register(
                "evacuations.domains", (Gauge<Integer>) () -> current.domains().size());
    }

    /** Adds a listener, which is called once the words are known and whenever another set of domains is evacuated. */
    void subscribe(Consumer<Set<FailureDomainId>> listener) {
        listeners.add(listener);
    }

    Evacuations current() {
        return current;
    }

    boolean isEvacuated(FailureDomainId domain) {
        return current.domains().contains(domain);
    }

    /**
     * Returns for how long this node has known that a failure domain is evacuated.
     *
     * @param domain the failure domain
     * @return time in milliseconds; empty if it is not evacuated
     */
    OptionalLong knownForMillis(FailureDomainId domain) {
        Long atMillis = heardMillis.get(domain);
        return atMillis == null ? OptionalLong.empty() : OptionalLong.of(clock.monotonicMillis() - atMillis);
    }

    /** Puts in force what the store listed or a peer told, if it is of a later revision. */
    synchronized void offer(Evacuations offered, String source) {
        Evacuations latest = current.latest(offered);
        if (current.revision().isAfter(offered.revision()) && !offered.domains().equals(current.domains())) {
            metrics.counter("evacuations.outdated").inc();
            log.request("evacuations_outdated")
                    .with("offered", offered.revision())
                    .with("known", current.revision())
                    .with("from", source)
                    .write();
        }
        adopt(latest, source);
    }

    /** Puts changes in force that a watch returned. */
    synchronized void apply(List<Evacuations.Change> changes, StoreRevision upToRevision, String source) {
        adopt(current.with(changes, upToRevision), source);
    }

    private void adopt(Evacuations adopted, String source) {
        Evacuations before = current;
        if (adopted.equals(before)) {
            return;
        }
        Set<FailureDomainId> affected = new TreeSet<>(before.domains());
        affected.addAll(adopted.domains());
        affected.forEach(domain -> report(domain, before, adopted, source));
        if (!before.isKnown() || !adopted.domains().equals(before.domains())) {
            listeners.forEach(listener -> listener.accept(adopted.domains()));
        }
        // Set last: an attempt that is withheld by the new state then reaches the dispatcher after its event.
        current = adopted;
    }

    private void report(FailureDomainId domain, Evacuations before, Evacuations adopted, String source) {
        boolean evacuated = adopted.domains().contains(domain);
        String gauge = "evacuated." + domain + ".millis";
        if (evacuated == before.domains().contains(domain)) {
            return;
        }
        long nowMillis = clock.monotonicMillis();
        if (evacuated) {
            heardMillis.put(domain, nowMillis);
            metrics.gauge(gauge, () -> (Gauge<Long>)
                    () -> clock.monotonicMillis() - heardMillis.getOrDefault(domain, clock.monotonicMillis()));
            log.state("evacuation_begun")
                    .with("failureDomain", domain)
                    .with("revision", adopted.sinceRevision().get(domain))
                    .with("from", source)
                    .with("known", knownDomains.contains(domain))
                    .write();
        } else {
            Long sinceMillis = heardMillis.remove(domain);
            metrics.remove(gauge);
            log.state("evacuation_ended")
                    .with("failureDomain", domain)
                    .with("revision", adopted.revision())
                    .with("from", source)
                    .with("tookMillis", sinceMillis == null ? -1 : nowMillis - sinceMillis)
                    .write();
        }
    }
}
