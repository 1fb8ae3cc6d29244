package org.apricotdeal.relay.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.time.Clock;

/**
 * What callers hold of a node's memory and connections. Answers crowds that take as much as the limits allow and stay: what
 * makes no progress gives way first, and each time is counted and logged.
 */
final class CallerResources {
    private final ResourceLimits limits;
    private final Clock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final BufferLimit bodies;
    private final BufferLimit heads;
    private final BufferLimit answers;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final LingeringConnections lingering = new LingeringConnections();
    private volatile long headTimeoutMillis;

    CallerResources(ResourceLimits limits, Clock clock, DecisionLog log, MetricRegistry metrics) {
        this.limits = limits;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        bodies = new BufferLimit(limits.bodyBytes());
        heads = new BufferLimit(limits.headBytes());
        answers = new BufferLimit(limits.answerBytes());
        metrics.register("callers.held.body.bytes", (Gauge<Long>) bodies::reservedBytes);
        metrics.register("callers.held.head.bytes", (Gauge<Long>) heads::reservedBytes);
        metrics.register("callers.held.answer.bytes", (Gauge<Long>) answers::reservedBytes);
        metrics.register("callers.connections", (Gauge<Integer>) connections::size);
        metrics.register("callers.lingering", (Gauge<Integer>) lingering::size);
    }

    BufferLimit bodies() {
        return bodies;
    }

    BufferLimit heads() {
        return heads;
    }

    BufferLimit answers() {
        return answers;
    }

    /** Returns the callers' connections that are about to be closed. */
    LingeringConnections lingering() {
        return lingering;
    }

    long nowMillis() {
        return clock.monotonicMillis();
    }

    /** Sets the maximum time for the head of a request to arrive; 0 for none. */
    void setHeadTimeout(long timeoutMillis) {
        headTimeoutMillis = timeoutMillis;
    }

    /**
     * Adds a connection. If there are too many, closes those that linger; then the one that has been without a request for
     * the longest time and from which nothing arrives; then the one that has stalled for the longest time in sending its body or
     * reading its answer; then the oldest one whose request may be arriving; else the new one.
     */
    void opened(CallerConnection connection) {
        Set<CallerConnection> candidates = null;
        Deque<CallerConnection> receiving = new ArrayDeque<>();
        while (connections.size() + lingering.size() >= limits.connections()) {
            if (lingering.closeOldest()) {
                continue;
            }
            if (candidates == null) {
                candidates = new HashSet<>(connections);
            }
            Optional<CallerConnection> stalled = longestStalled(candidates);
            if (stalled.isPresent()) {
                candidates.remove(stalled.get());
                if (stalled.get().isReceiving()) {
                    receiving.add(stalled.get());
                    continue;
                }
            }
            CallerConnection next = stalled.orElseGet(receiving::poll);
            if (next == null) {
                connection.giveWay();
                return;
            }
            // False for one that has just got a request.
            if (next.giveWay()) {
                connections.remove(next);
            }
        }
        connections.add(connection);
    }

    private Optional<CallerConnection> longestStalled(Set<CallerConnection> candidates) {
        List<CallerConnection> idle =
                candidates.stream().filter(CallerConnection::isWithoutRequest).toList();
        long nowMillis = nowMillis();
        return StalledHolder.longestStalled(idle, nowMillis, 0)
                .or(() -> StalledHolder.longestStalled(candidates, nowMillis, StalledHolder.MIN_STALL_MILLIS));
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Closes the connections on which the head of a request takes too long to arrive. */
    void closeOverdueHeads() {
        long timeoutMillis = headTimeoutMillis;
        if (timeoutMillis <= 0) {
            return;
        }
        long nowMillis = nowMillis();
        for (CallerConnection connection : connections) {
            if (connection.isHeadOverdue(nowMillis - timeoutMillis)) {
                connection.closeOverdueHead();
            }
        }
    }

    /**
     * Counts and logs that something was taken from a caller or refused.
     *
     * @param what name of the limit
     */
    void record(String what) {
        metrics.counter("callers.curbed." + what).inc();
        log.request("caller_curbed")
                .with("limit", what)
                .with("connections", connections.size())
                .with("bodyBytes", bodies.reservedBytes())
                .with("headBytes", heads.reservedBytes())
                .with("answerBytes", answers.reservedBytes())
                .write();
    }
}
