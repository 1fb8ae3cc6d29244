package org.apricotdeal.node.kernel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.kernel.time.HybridClock;
import org.apricotdeal.kernel.time.HybridTime;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.kernel.timeline.Timeline;
import org.apricotdeal.node.settings.NodeSettings;
import org.apricotdeal.wire.gen.TPeerBody;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;

/**
 * What the plug-ins of a node share and register with: clocks, time line, metrics, duties, handlers of HTTP paths and peer
 * messages, readiness checks, and services that one plug-in offers to others.
 */
public final class NodeKernel {
    private final NodeSettings settings;
    private final HttpClient httpClient;
    private final Clock clock = new SystemClock();
    private final HybridClock hybridClock = new HybridClock(clock);
    private final MetricRegistry metrics = new MetricRegistry();
    private final Timeline timeline;
    private final String bootId;
    private final Queue<NodeEvent> eventsBeforeStart = new ArrayDeque<>();
    private final List<Consumer<NodeEvent>> subscribers = new CopyOnWriteArrayList<>();
    private final List<Duty<?>> duties = new ArrayList<>();
    private final List<Route> callerRoutes = new ArrayList<>();
    private final List<Route> peerRoutes = new ArrayList<>();
    private final Map<TPeerBody._Fields, Consumer<TPeerMessage>> peerHandlers = new EnumMap<>(TPeerBody._Fields.class);
    private final List<Supplier<Optional<String>>> readinessChecks = new CopyOnWriteArrayList<>();
    private final Map<Class<?>, Object> services = new HashMap<>();
    private final AtomicBoolean draining = new AtomicBoolean();
    private volatile boolean started;

    /**
     * A handler of all paths with a prefix.
     *
     * @param prefix the prefix
     * @param handler the handler
     */
    public record Route(String prefix, Handler handler) {}

    /**
     * Creates a kernel.
     *
     * @param settings the node's settings
     * @param httpClient client for all outgoing calls, started by its owner
     */
    public NodeKernel(NodeSettings settings, HttpClient httpClient) {
        this.settings = settings;
        this.httpClient = httpClient;
        this.timeline = new Timeline(settings.node().id().value(), hybridClock, Timeline.DEFAULT_CAPACITY);
        this.bootId = settings.node().id() + "-" + Long.toString(clock.wallMillis(), Character.MAX_RADIX);
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public NodeSettings settings() {
        return settings;
    }

    /**
     * Returns the client for outgoing calls.
     *
     * @return the started client
     */
    public HttpClient httpClient() {
        return httpClient;
    }

    /**
     * Returns the clock.
     *
     * @return the machine's clock
     */
    public Clock clock() {
        return clock;
    }

    /**
     * Returns the clock of the time line.
     *
     * @return the hybrid logical clock
     */
    public HybridClock hybridClock() {
        return hybridClock;
    }

    /**
     * Returns the time line.
     *
     * @return the node's time line
     */
    public Timeline timeline() {
        return timeline;
    }

    /**
     * Returns the metrics.
     *
     * @return the node's registry
     */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Returns an id that differs from start to start.
     *
     * @return the id
     */
    public String bootId() {
        return bootId;
    }

    /**
     * Publishes an event to all subscribers; each takes it on the publishing thread and hands it to its own duty. While
     * plug-ins start, events are kept, so that those that have not subscribed yet get them too.
     *
     * @param event the event
     */
    public void publish(NodeEvent event) {
        if (!started) {
            synchronized (eventsBeforeStart) {
                if (!started) {
                    eventsBeforeStart.add(event);
                    return;
                }
            }
        }
        deliver(event);
    }

    /** Delivers, in their order, the events that were published while plug-ins started; called once when all have. */
    public void pluginsStarted() {
        synchronized (eventsBeforeStart) {
            while (!eventsBeforeStart.isEmpty()) {
                deliver(eventsBeforeStart.remove());
            }
            started = true;
        }
    }

    private void deliver(NodeEvent event) {
        for (Consumer<NodeEvent> subscriber : subscribers) {
            subscriber.accept(event);
        }
    }

    /**
     * Subscribes to all events.
     *
     * @param subscriber must hand the event on without blocking
     */
    public void subscribe(Consumer<NodeEvent> subscriber) {
        subscribers.add(subscriber);
    }

    /**
     * Starts a duty, which the kernel closes when the node stops.
     *
     * @param name name of the duty
     * @param ringSlots size of its ring, a power of two
     * @param tickMillis longest time between two ticks
     * @param handler handles one event
     * @param tick handles the passage of time
     * @param <E> type of the events
     * @return the running duty
     */
    public <E> Duty<E> duty(String name, int ringSlots, long tickMillis, Consumer<E> handler, Runnable tick) {
        Duty<E> duty = new Duty<>(name, ringSlots, tickMillis, handler, tick);
        duties.add(duty);
        metrics.register("duty." + name + ".depth", (Gauge<Long>) duty::depth);
        return duty;
    }

    /**
     * Adds a handler to the port for callers.
     *
     * @param prefix prefix of the paths
     * @param handler the handler
     */
    public void callerRoute(String prefix, Handler handler) {
        callerRoutes.add(new Route(prefix, handler));
    }

    /**
     * Adds a handler to the port for peers and operators.
     *
     * @param prefix prefix of the paths
     * @param handler the handler
     */
    public void peerRoute(String prefix, Handler handler) {
        peerRoutes.add(new Route(prefix, handler));
    }

    /**
     * Returns the handlers of the port for callers.
     *
     * @return the routes in the order of their registration
     */
    public List<Route> callerRoutes() {
        return List.copyOf(callerRoutes);
    }

    /**
     * Returns the handlers of the port for peers and operators.
     *
     * @return the routes in the order of their registration
     */
    public List<Route> peerRoutes() {
        return List.copyOf(peerRoutes);
    }

    /**
     * Adds the handler of a kind of peer message.
     *
     * @param kind the kind
     * @param handler takes the message; must not block
     */
    public void peerHandler(TPeerBody._Fields kind, Consumer<TPeerMessage> handler) {
        peerHandlers.put(kind, handler);
    }

    /**
     * Handles a peer message; a kind that no plug-in handles is ignored.
     *
     * @param message the message
     */
    public void handlePeer(TPeerMessage message) {
        hybridClock.observe(new HybridTime(
                message.getTime().getWallMillis(), message.getTime().getCounter()));
        Consumer<TPeerMessage> handler = peerHandlers.get(message.getBody().getSetField());
        if (handler != null) {
            handler.accept(message);
        }
    }

    /**
     * Adds a readiness check.
     *
     * @param check returns why the node is not ready, or nothing
     */
    public void readinessCheck(Supplier<Optional<String>> check) {
        readinessChecks.add(check);
    }

    /**
     * Tells why the node is not ready.
     *
     * @return the first reason found, or nothing where it is ready
     */
    public Optional<String> notReadyReason() {
        if (draining.get()) {
            return Optional.of("draining");
        }
        for (Supplier<Optional<String>> check : readinessChecks) {
            Optional<String> reason = check.get();
            if (reason.isPresent()) {
                return reason;
            }
        }
        return Optional.empty();
    }

    /** Marks the node as draining: not ready for the balancer, but still serving. */
    public void drain() {
        if (draining.compareAndSet(false, true)) {
            publish(new NodeEvent.Draining());
        }
    }

    /**
     * Tells whether the node is draining.
     *
     * @return true from the first call of {@link #drain()} on
     */
    public boolean isDraining() {
        return draining.get();
    }

    /**
     * Offers a service to other plug-ins.
     *
     * @param type its type
     * @param service the service
     * @param <S> its type
     */
    public <S> void offer(Class<S> type, S service) {
        services.put(type, service);
    }

    /**
     * Returns a service that another plug-in has offered.
     *
     * @param type its type
     * @param <S> its type
     * @return the service
     * @throws IllegalStateException where no plug-in has offered it
     */
    public <S> S require(Class<S> type) {
        Object service = services.get(type);
        if (service == null) {
            throw new IllegalStateException("no plug-in offers " + type.getName());
        }
        return type.cast(service);
    }

    /** Closes all duties, the last started first. */
    public void closeDuties() {
        for (int i = duties.size() - 1; i >= 0; i--) {
            duties.get(i).close();
        }
    }
}
