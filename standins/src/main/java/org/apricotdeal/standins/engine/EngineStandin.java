package org.apricotdeal.standins.engine;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.http.EngineJson;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.standins.server.Exchange;
import org.apricotdeal.standins.server.StandinHandler;
import org.apricotdeal.standins.server.StandinThreads;
import org.apricotdeal.standins.server.UpstreamFaults;

/**
 * Stand-in for the model engine of one VM. The first member of a whole replica answers prompts with
 * {@link ExpectedAnswer}; the others only tell that they are there.
 */
public final class EngineStandin implements StandinHandler, AutoCloseable {
    private static final long SAMPLE_MILLIS = 50;
    private static final String BEARER = "Bearer ";

    private final VmId vm;
    private final EngineSettings settings;
    private final String weightStoreAddress;
    private final Map<VmId, String> addresses;
    private final StandinThreads threads;
    private final UpstreamFaults faults;
    private final ReplicaMembership membership;
    private final CacheEventLog cacheEvents;
    private final PrefixCache cache;
    private final DecodeBatch batch;
    private final LoadReports loads;
    private final AtomicLong arrivals = new AtomicLong();
    private volatile MemberWatch memberWatch;
    private volatile boolean isClosed;

    /**
     * Creates an engine that has just started: it holds no weights and belongs to no replica.
     *
     * @param vm the VM
     * @param settings its settings
     * @param weightStoreAddress host and port of the weight store; empty where none limits loads
     * @param addresses addresses of all VMs
     * @param threads shared threads
     */
    public EngineStandin(
            VmId vm,
            EngineSettings settings,
            String weightStoreAddress,
            Map<VmId, String> addresses,
            StandinThreads threads) {
        Clock clock = new SystemClock();
        this.vm = vm;
        this.settings = settings;
        this.weightStoreAddress = weightStoreAddress;
        this.addresses = Map.copyOf(addresses);
        this.threads = threads;
        long seed = vm.value().hashCode();
        this.faults = new UpstreamFaults(seed);
        this.membership = new ReplicaMembership(vm, UUID.randomUUID().toString(), settings.fencing());
        this.cacheEvents =
                new CacheEventLog(clock, settings.cacheEventLagMillis(), settings.cacheEventLossShare(), seed);
        this.cache = new PrefixCache(settings.cachePrefixes(), cacheEvents);
        this.batch = new DecodeBatch(settings, faults, cache, threads);
        this.loads = new LoadReports(clock, settings.loadReportLagMillis());
        sample();
    }

    private void sample() {
        if (isClosed) {
            return;
        }
        loads.sample(batch.running(), batch.waiting(), cache.usedShare());
        threads.afterMillis(SAMPLE_MILLIS, this::sample);
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        String call = exchange.method() + " " + exchange.path();
        if (call.equals("POST /standin/faults")) {
            faults.apply(exchange.json());
            exchange.reply(200, JsonNodeFactory.instance.objectNode());
            return;
        }
        if (faults.isSilent(exchange)) {
            exchange.leaveSilent();
            return;
        }
        JsonNode body = exchange.json();
        long pausedMillis = faults.pausedMillis();
        if (pausedMillis > 0) {
            threads.afterMillis(pausedMillis, () -> dispatch(exchange, call, body));
        } else {
            dispatch(exchange, call, body);
        }
    }

    private void dispatch(Exchange exchange, String call, JsonNode body) {
        if (isClosed) {
            return;
        }
        switch (call) {
            case "GET /engine/state" -> exchange.reply(200, EngineJson.write(state()));
            case "GET /engine/cache-events" -> exchange.reply(200, cacheEvents.json(exchange.queryNumber("after", 0)));
            case "POST /engine/orders" -> receiveOrder(exchange, body);
            case "POST /v1/completions" -> startStream(exchange, body);
            default -> cancelStream(exchange);
        }
    }

    private EngineState state() {
        return membership.state(loads.report());
    }

    private void receiveOrder(Exchange exchange, JsonNode body) {
        String credential = settings.credential();
        if (!credential.isEmpty() && !exchange.header("authorization").equals(BEARER + credential)) {
            exchange.refuse(401, "the credential is wrong");
            return;
        }
        Order order;
        try {
            order = EngineJson.readOrder(body);
        } catch (IllegalArgumentException e) {
            exchange.refuse(422, e.getMessage());
            return;
        }
        threads.afterMillis(faults.orderDelayMillis(), () -> carryOut(exchange, order));
    }

    private void carryOut(Exchange exchange, Order order) {
        if (isClosed) {
            return;
        }
        switch (membership.take(order)) {
            case ReplicaMembership.Fenced(long fence) -> {
                exchange.reply(409, JsonNodeFactory.instance.objectNode().put("fence", fence));
                return;
            }
            case ReplicaMembership.Refused(String detail) -> {
                exchange.refuse(422, detail);
                return;
            }
            case ReplicaMembership.StartLoad(var model) ->
                new WeightLoad(
                                vm,
                                weightStoreAddress,
                                settings.loadMillis(),
                                threads,
                                () -> !isClosed && membership.isLoading(model),
                                () -> membership.loaded(model))
                        .start();
            case ReplicaMembership.Joined(var members) -> watchMembers(members);
            case ReplicaMembership.Left() -> leave();
            case ReplicaMembership.Done() -> {}
        }
        exchange.reply(200, EngineJson.write(state()));
    }

    private void watchMembers(List<VmId> members) {
        if (members.getFirst().equals(vm)) {
            MemberWatch watch = new MemberWatch(state(), addresses, threads, batch::cutOffAll);
            memberWatch = watch;
            watch.start();
        }
    }

    private void leave() {
        MemberWatch watch = memberWatch;
        memberWatch = null;
        if (watch != null) {
            watch.stop();
        }
        batch.cutOffAll();
    }

    private boolean isWhole() {
        MemberWatch watch = memberWatch;
        return watch != null && watch.isWhole();
    }

    private void startStream(Exchange exchange, JsonNode body) {
        DecodeRequest request;
        try {
            request = DecodeRequest.read(body);
        } catch (IllegalArgumentException e) {
            exchange.refuse(422, e.getMessage());
            return;
        }
        if (faults.drawDiesBeforeRun()) {
            exchange.cutOff();
        } else if (!membership.isFirstMemberFor(request.model())) {
            exchange.refuse(503, "is no first member of a replica of " + request.model());
        } else if (!isWhole()) {
            exchange.refuse(503, "a member is missing");
        } else if (batch.contains(request.requestId())) {
            exchange.refuse(409, "the request runs already");
        } else if (!batch.hasRoom()) {
            exchange.refuse(503, "too many requests wait");
        } else {
            batch.add(new DecodeStream(arrivals.incrementAndGet(), request, exchange.startStream("text/event-stream")));
        }
    }

    private void cancelStream(Exchange exchange) {
        List<String> segments = exchange.segments();
        boolean isCancel = exchange.method().equals("DELETE")
                && segments.size() == 3
                && exchange.path().startsWith("/v1/completions/");
        if (isCancel && batch.cancel(segments.get(2))) {
            exchange.reply(200, JsonNodeFactory.instance.objectNode());
        } else {
            exchange.refuse(404, "no such call or request");
        }
    }

    /**
     * Returns the faults.
     *
     * @return the faults, which can be changed
     */
    public UpstreamFaults faults() {
        return faults;
    }

    @Override
    public void close() {
        isClosed = true;
        MemberWatch watch = memberWatch;
        if (watch != null) {
            watch.stop();
        }
        batch.close();
    }
}
