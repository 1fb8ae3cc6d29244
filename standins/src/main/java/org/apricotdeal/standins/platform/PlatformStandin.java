package org.apricotdeal.standins.platform;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.standins.server.Exchange;
import org.apricotdeal.standins.server.StandinHandler;
import org.apricotdeal.standins.server.StandinServer;
import org.apricotdeal.standins.server.StandinThreads;

/**
 * Stand-in for the platform: a subset of etcd's gateway with rate limits and counters, the VM list, the weight store, and
 * faults. A call while the service is away reaches it, has no effect and gets no answer; a lost reply is one of a write
 * that has taken effect.
 */
public final class PlatformStandin implements StandinHandler, AutoCloseable {
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;
    private static final long TICK_MILLIS = 100;
    private static final int TICKS_PER_PROGRESS = 50;

    private final StandinThreads threads;
    private final PlatformFaults faults;
    private final KeyValueGateway gateway;
    private final RateLimit reads;
    private final RateLimit writes;
    private final CallCounts counts = new CallCounts();
    private final VmRegistry vms;
    private final WeightStore weights;
    private final Random random;
    private final StandinServer server;
    private volatile boolean isClosed;
    private int ticks;

    /**
     * Starts the stand-in.
     *
     * @param settings its settings
     * @param vms all VMs that the platform knows
     * @param absent those of them that the list does not show at first
     * @param threads shared threads
     */
    public PlatformStandin(PlatformSettings settings, List<Vm> vms, List<VmId> absent, StandinThreads threads) {
        Clock clock = new SystemClock();
        this.threads = threads;
        this.faults = new PlatformFaults(settings.slowMillis(), settings.lostReplyShare());
        this.gateway = new KeyValueGateway(clock);
        this.reads = new RateLimit(settings.readsPerSecond());
        this.writes = new RateLimit(settings.writesPerSecond());
        this.vms = new VmRegistry(clock, settings.vmListLagMillis(), vms, absent);
        this.weights = new WeightStore(clock, settings.weightStoreConcurrentLoads());
        this.random = new Random(settings.seed());
        this.server = StandinServer.start(threads, settings.host(), settings.ports(), IDLE_TIMEOUT_MILLIS, this);
        threads.afterMillis(TICK_MILLIS, this::tick);
    }

    private void tick() {
        if (isClosed) {
            return;
        }
        ticks++;
        gateway.tick(ticks % TICKS_PER_PROGRESS == 0);
        threads.afterMillis(TICK_MILLIS, this::tick);
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        String path = exchange.path();
        if (path.startsWith("/standin/")) {
            control(exchange);
        } else if (path.equals("/weights/loads")) {
            beginLoad(exchange);
        } else if (faults.isAway(exchange.localPort())) {
            exchange.cutOff();
        } else if (path.equals("/vms")) {
            counts.vmList();
            exchange.reply(200, GatewayJson.vms(vms.shown()));
        } else {
            callGateway(exchange, path);
        }
    }

    private void callGateway(Exchange exchange, String path) throws IOException {
        JsonNode body = exchange.json();
        boolean isWrite = path.equals("/v3/kv/txn") || path.startsWith("/v3/lease/");
        if (!(isWrite ? writes : reads).tryAcquire()) {
            counts.refused();
            exchange.reply(429, GatewayJson.error(429, "too many requests"));
            return;
        }
        if (path.equals("/v3/watch")) {
            counts.watch();
        } else if (isWrite) {
            counts.write();
        } else {
            counts.read();
        }
        long slowMillis = faults.slowMillis();
        if (slowMillis > 0) {
            threads.afterMillis(slowMillis, () -> execute(exchange, path, body, isWrite));
        } else {
            execute(exchange, path, body, isWrite);
        }
    }

    private void execute(Exchange exchange, String path, JsonNode body, boolean isWrite) {
        if (faults.isAway(exchange.localPort())) {
            exchange.cutOff();
            return;
        }
        if (path.equals("/v3/watch")) {
            gateway.watch(body, exchange.localPort(), exchange.startStream("application/json"));
            return;
        }
        KeyValueGateway.Answer answer = gateway.call(path, body);
        if (isWrite && drawShare() < faults.lostReplyShare()) {
            exchange.cutOff();
            return;
        }
        exchange.reply(answer.status(), answer.json());
    }

    private double drawShare() {
        synchronized (random) {
            return random.nextDouble();
        }
    }

    private void beginLoad(Exchange exchange) throws IOException {
        JsonNode body = exchange.json();
        boolean begun =
                weights.begin(body.path("vm").asText(), body.path("loadMillis").asLong());
        if (begun) {
            exchange.reply(200, JsonNodeFactory.instance.objectNode());
        } else {
            exchange.refuse(429, "too many loads");
        }
    }

    private void control(Exchange exchange) throws IOException {
        List<String> segments = exchange.segments();
        switch (exchange.method() + " " + segments.get(1)) {
            case "GET calls" ->
                exchange.reply(
                        200, counts.json().put("waiting", gateway.watches().size()));
            case "POST faults" -> {
                faults.apply(exchange.json());
                gateway.watches().cutOff(faults::isAway);
                exchange.reply(200, JsonNodeFactory.instance.objectNode());
            }
            case "POST vms" -> changeVm(exchange, segments);
            default -> exchange.refuse(404, "no such call");
        }
    }

    private void changeVm(Exchange exchange, List<String> segments) throws IOException {
        if (segments.size() != 4 || !segments.get(3).equals("state")) {
            exchange.refuse(404, "expected /standin/vms/{id}/state");
            return;
        }
        String state = exchange.json().path("state").asText();
        VmId id = new VmId(segments.get(2));
        boolean known =
                state.equals("gone") ? vms.remove(id) : vms.state(id, VmState.valueOf(state.toUpperCase(Locale.ROOT)));
        if (known) {
            exchange.reply(200, JsonNodeFactory.instance.objectNode());
        } else {
            exchange.refuse(404, "no such VM");
        }
    }

    /**
     * Returns the main port.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        isClosed = true;
        server.close();
    }
}
