package org.apricotdeal.relay.node;

import java.util.List;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.misc.Version;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.relay.health.LocalHealth;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.port.PlatformAdapter;
import org.apricotdeal.relay.port.WatchStore;
import org.apricotdeal.wire.gen.TRelayNode;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A node in relay mode: wires duties, store threads and ports, and runs its life from start to graceful stop. */
public final class RelayNode {
    /** The load balancer checks readiness once per second and needs two results; it may send connections until then. */
    private static final long MIN_DRAIN_MILLIS = 3_000;

    /** Later requests might not complete before the process ends; by then the load balancer uses other nodes. */
    private static final long ACCEPT_REQUESTS_MILLIS = 2_500;

    /** Margin before the time at which the platform kills the process. */
    private static final long END_MARGIN_MILLIS = 700;

    /** Time for the responses to requests that are still running at the end; a part of the margin. */
    private static final long LAST_RESPONSES_MILLIS = 300;

    /** Node count of the largest fleet, by which the retry budget is divided until the registered nodes are known. */
    private static final int ASSUMED_NODES = 400;

    private final RelaySettings settings;
    private final Clock clock = new SystemClock();
    private final MetricRegistry metrics = new MetricRegistry();
    private final DecisionLog log;
    private final QueuedThreadPool threads;
    private final HttpClient client;
    private final RelayDuty relay;
    private final FleetDuty fleet;
    private final CatalogueHolder catalogues;
    private final EvacuationHolder evacuations;
    private final Registration registration;
    private final Heartbeats heartbeats;
    private final IngressHandler ingress;
    private final List<StoreThread> storeThreads;
    private final NodeStatus status;
    private final RelayServer server;

    /**
     * Creates a node.
     *
     * @param settings checked settings
     */
    public RelayNode(RelaySettings settings) {
        this.settings = settings;
        log = new DecisionLog(System.out, metrics);
        threads = RelayClients.newThreadPool();
        UpstreamConnector connector = new UpstreamConnector(metrics.counter("connections.opened"));
        client = RelayClients.startClient(threads, connector);
        PlatformAdapter adapter = adapter(settings.adapter());
        WatchStore store = adapter.store(client, settings.storeAddress(), settings.storeTimeoutMillis());
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create();
        RetryBudget budget = new RetryBudget(
                settings.retryWindowMillis(), settings.retryRatio(), settings.retryAllowance(), settings.nodes());
        budget.assumeNodeCount(ASSUMED_NODES);
        RelayDispatcher dispatcher =
                new RelayDispatcher(new FleetNode(settings.name(), settings.failureDomain()), budget, random);
        UpstreamRequest.Factory requests = (address, target) -> new UpstreamRequest(client, address, target);
        evacuations = new EvacuationHolder(settings.failureDomains(), clock, log, metrics);
        relay = new RelayDuty(
                dispatcher,
                requests,
                adapter.headers(),
                evacuations::isEvacuated,
                clock,
                random,
                log,
                metrics,
                settings.resources());
        LocalHealth health = new LocalHealth();
        fleet = new FleetDuty(settings, relay, adapter.vmClient(client), health, clock, log, metrics);
        HttpClient partnerClient =
                RelayClients.startPartnerClient(threads, metrics.counter("connections.to.nodes.opened"));
        relay.handOverBy(new HandOver(
                settings.failureDomain(),
                (address, target) -> new UpstreamRequest(partnerClient, address, target),
                adapter.headers(),
                relay.callerResources(),
                fleet,
                clock,
                log,
                metrics));
        relay.judgeDelayBy(health);
        relay.readLoadsWith(adapter::requestsAtVm);
        relay.onSuspectedVms(fleet::suspect);
        relay.onLeavingVms(target -> fleet.put(new FleetEvent.VmLeaves(target)));
        catalogues = new CatalogueHolder(adapter.codec(), log);
        catalogues.subscribe(catalogue -> {
            client.setMaxRequestHeadersSize(catalogue.callerLimits().sentHeadBytes());
            relay.put(new RelayEvent.CatalogueChanged(catalogue));
            fleet.put(new FleetEvent.CatalogueChanged(catalogue));
        });
        evacuations.subscribe(domains -> {
            relay.put(new RelayEvent.EvacuationsChanged(domains));
            fleet.put(new FleetEvent.EvacuationsChanged(domains));
        });
        TRelayNode self = registered();
        registration = new Registration(self, counted(store, "registration"), fleet, clock, log);
        VmWatcher vms = new VmWatcher(counted(store, "vms"), adapter.codec(), fleet, clock, log);
        CatalogueWatcher watcher =
                new CatalogueWatcher(counted(store, "catalogue"), adapter.codec(), catalogues, evacuations, clock, log);
        storeThreads = List.of(watcher, vms, registration);
        CataloguePull cataloguePull = new CataloguePull(client, catalogues, watcher::isStoreFailing, clock, metrics);
        heartbeats = new Heartbeats(
                self,
                client,
                relay,
                fleet,
                catalogues,
                cataloguePull,
                evacuations,
                watcher,
                vms,
                healthProbe(health, connector),
                clock,
                log,
                metrics);
        relay.crashNews().onNewCrash(heartbeats::sendSoon);
        ingress = new IngressHandler(catalogues, adapter, relay, clock);
        SelectorProbe selectorProbe = new SelectorProbe(connector::runOnSelector, clock);
        status = new NodeStatus(settings, catalogues, evacuations, fleet, relay, selectorProbe, clock);
        server = newServer(adapter, cataloguePull);
    }

    private HealthProbe healthProbe(LocalHealth health, UpstreamConnector connector) {
        return new HealthProbe(
                health, connector::runOnSelector, connector::setConnectTimeoutMillis, clock, Heartbeats.PERIOD_MILLIS);
    }

    private RelayServer newServer(PlatformAdapter adapter, CataloguePull cataloguePull) {
        return new RelayServer(
                settings,
                threads,
                ingress,
                heartbeats,
                cataloguePull,
                status,
                new ExplainHandler(settings, catalogues, adapter, relay, clock),
                metrics,
                catalogues,
                relay.callerResources());
    }

    private TRelayNode registered() {
        TRelayNode self = new TRelayNode(
                settings.name(), settings.failureDomain().value(), settings.peerAddress(), clock.wallMillis());
        self.setCallerAddress(settings.callerAddress());
        return self;
    }

    private WatchStore counted(WatchStore store, String task) {
        return new CountedStore(store, metrics, task);
    }

    private static PlatformAdapter adapter(String name) {
        for (PlatformAdapter adapter : ServiceLoader.load(PlatformAdapter.class)) {
            if (adapter.name().equals(name)) {
                return adapter;
            }
        }
        throw new IllegalStateException("no platform adapter is named " + name);
    }

    /**
     * Opens the ports and starts watching the store.
     *
     * @throws Exception if a port cannot be opened
     */
    public void start() throws Exception {
        server.start();
        storeThreads.forEach(StoreThread::start);
        heartbeats.startSending();
        Signals.onHangUp(this::reload);
        log.state("started")
                .with("node", settings.name())
                .with("version", Version.CURRENT)
                .with("callers", settings.callerAddress())
                .write();
    }

    /**
     * Stops gracefully: reports that it is not ready, hands over its planning, continues to accept and serve requests for a
     * while, and ends before the platform kills the process.
     */
    public void stopGracefully() {
        long startMillis = clock.monotonicMillis();
        long endMillis = startMillis + settings.drainMillis() - END_MARGIN_MILLIS;
        log.state("stopping").with("inProgress", relay.inProgress()).write();
        ingress.drain(startMillis + Math.min(ACCEPT_REQUESTS_MILLIS, settings.drainMillis() / 2));
        status.drain();
        fleet.put(new FleetEvent.Stopping());
        registration.close();
        registration.deregister();
        sleep(Math.min(MIN_DRAIN_MILLIS, settings.drainMillis() / 2));
        if (!relay.awaitIdle(endMillis)) {
            relay.endRemaining();
            relay.awaitIdle(endMillis + LAST_RESPONSES_MILLIS);
        }
        relay.answers().cutRemaining();
        log.state("stopped").with("cutOff", relay.inProgress()).write();
        log.close();
    }

    /** Logs that changed settings have no effect before the next start. */
    private void reload() {
        log.state("reload")
                .with("effect", "settings are read at the next start")
                .write();
    }

    /** Closes immediately and aborts running requests. */
    public void close() {
        storeThreads.forEach(StoreThread::close);
        try {
            server.stop();
            client.stop();
            threads.stop();
        } catch (Exception e) {
            throw new IllegalStateException("failed to stop the node", e);
        }
        heartbeats.close();
        fleet.close();
        relay.close();
        log.close();
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
