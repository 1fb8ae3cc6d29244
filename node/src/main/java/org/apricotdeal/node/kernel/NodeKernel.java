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
 * The resources that the plug-ins of a node share and the registries to which they add their own parts: clocks, timeline,
 * metrics, duties, handlers of HTTP paths and peer messages, readiness checks, and services for other plug-ins.
 */
public final class NodeKernel {
    private final NodeSettings settings;
    private final HttpClient httpClient;
    private final Clock clock = new SystemClock();
    private final HybridClock hybridClock = new HybridClock(clock);
    private final MetricRegistry metrics = new MetricRegistry();
    private final Timeline timeline;
    private final String bootId;
    private final Queue<NodeEvent> bufferedEvents = new ArrayDeque<>();
    private final List<Consumer<NodeEvent>> subscribers = new CopyOnWriteArrayList<>();
    private final List<Duty<?>> duties = new ArrayList<>();
    private final List<HttpRoute> callerRoutes = new ArrayList<>();
    private final List<HttpRoute> peerRoutes = new ArrayList<>();
    private final Map<TPeerBody._Fields, Consumer<TPeerMessage>> peerHandlers = new EnumMap<>(TPeerBody._Fields.class);
    private final List<Supplier<Optional<String>>> readinessChecks = new CopyOnWriteArrayList<>();
    private final Map<Class<?>, Object> services = new HashMap<>();
    private final AtomicBoolean draining = new AtomicBoolean();
    private volatile boolean started;

    /**
     * A handler for all paths that start with a prefix.
     *
     * @param prefix prefix of the paths
     * @param handler handles the requests to these paths
     */
    public record HttpRoute(String prefix, Handler handler) {}

    /**
     * Creates a kernel.
     *
     * @param settings the node's settings
     * @param httpClient started client for all outgoing calls; the kernel does not stop it
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
     * @return the node's settings
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
     * @return the system clock
     */
    public Clock clock() {
        return clock;
    }

    /**
     * Returns the clock that orders events across nodes.
     *
     * @return the hybrid logical clock
     */
    public HybridClock hybridClock() {
        return hybridClock;
    }

    /**
     * Returns the timeline.
     *
     * @return the log of the node's recent events
     */
    public Timeline timeline() {
        return timeline;
    }

    /**
     * Returns the metrics.
     *
     * @return the metric registry of the node
     */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Returns an id that is different after each start of the node.
     *
     * @return id of this run of the node
     */
    public String bootId() {
        return bootId;
    }

    /**
     * Publishes an event to all subscribers. They are called on the publishing thread and pass the event to their own
     * duty. Events that are published while plug-ins start are buffered, so that plug-ins that subscribe later receive
     * them too.
     *
     * @param event the event to deliver
     */
    public void publish(NodeEvent event) {
        if (!started) {
            synchronized (bufferedEvents) {
                if (!started) {
                    bufferedEvents.add(event);
                    return;
                }
            }
        }
        deliver(event);
    }

    /** Delivers the buffered events in their order; must be called once, after all plug-ins have started. */
    public void deliverBufferedEvents() {
        synchronized (bufferedEvents) {
            while (!bufferedEvents.isEmpty()) {
                deliver(bufferedEvents.remove());
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
     * @param subscriber receives each event; must not block
     */
    public void subscribe(Consumer<NodeEvent> subscriber) {
        subscribers.add(subscriber);
    }

    /**
     * Starts a duty. The kernel closes it when the node stops.
     *
     * @param name name of the duty, also used in its metrics
     * @param ringSlots capacity of its ring buffer in events, a power of two
     * @param tickMillis maximum time between two ticks, in milliseconds
     * @param handler is called with each event
     * @param tick is called at least once per tick period, to handle timeouts
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
     * @param handler handles the requests to these paths
     */
    public void callerRoute(String prefix, Handler handler) {
        callerRoutes.add(new HttpRoute(prefix, handler));
    }

    /**
     * Adds a handler to the port for peers and operators.
     *
     * @param prefix prefix of the paths
     * @param handler handles the requests to these paths
     */
    public void peerRoute(String prefix, Handler handler) {
        peerRoutes.add(new HttpRoute(prefix, handler));
    }

    /**
     * Returns the handlers of the port for callers.
     *
     * @return the routes in the order of their registration
     */
    public List<HttpRoute> callerRoutes() {
        return List.copyOf(callerRoutes);
    }

    /**
     * Returns the handlers of the port for peers and operators.
     *
     * @return the routes in the order of their registration
     */
    public List<HttpRoute> peerRoutes() {
        return List.copyOf(peerRoutes);
    }

    /**
     * Sets the handler for one kind of peer message.
     *
     * @param kind field of the message body that the handler accepts
     * @param handler is called with each message of this kind; must not block
     */
    public void peerHandler(TPeerBody._Fields kind, Consumer<TPeerMessage> handler) {
        peerHandlers.put(kind, handler);
    }

    /**
     * Passes a peer message to the handler for its kind, or ignores it if there is none.
     *
     * @param message the received message
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
     * @param check returns the reason why the node is not ready, or empty if the check passes
     */
    public void readinessCheck(Supplier<Optional<String>> check) {
        readinessChecks.add(check);
    }

    /**
     * Returns the reason why the node is not ready.
     *
     * @return the first reason found, or empty if the node is ready
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

    /** Marks the node as draining. It reports to the load balancer that it is not ready, but still serves requests. */
    public void drain() {
        if (draining.compareAndSet(false, true)) {
            publish(new NodeEvent.Draining());
        }
    }

    /**
     * Returns whether the node is draining.
     *
     * @return true after the first call of {@link #drain()}
     */
    public boolean isDraining() {
        return draining.get();
    }

    /**
     * Registers a service for other plug-ins.
     *
     * @param type the type under which other plug-ins request the service
     * @param service the service to register
     * @param <S> type of the service
     */
    public <S> void offer(Class<S> type, S service) {
        services.put(type, service);
    }

    /**
     * Returns a service that another plug-in has registered.
     *
     * @param type the type under which the service was registered
     * @param <S> type of the service
     * @return the registered service
     * @throws IllegalStateException if no plug-in has registered it
     */
    public <S> S require(Class<S> type) {
        Object service = services.get(type);
        if (service == null) {
            throw new IllegalStateException("no plug-in has registered " + type.getName());
        }
        return type.cast(service);
    }

    /** Closes all duties in the reverse order of their start. */
    public void closeDuties() {
        for (int i = duties.size() - 1; i >= 0; i--) {
            duties.get(i).close();
        }
    }
}
