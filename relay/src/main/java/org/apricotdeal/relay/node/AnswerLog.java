package org.apricotdeal.relay.node;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.MetricRegistry;

/** Counts and logs the answers that a node gives itself and those that it cuts. */
final class AnswerLog {
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Set<Exchange> unwritten = ConcurrentHashMap.newKeySet();

    AnswerLog(DecisionLog log, MetricRegistry metrics) {
        this.log = log;
        this.metrics = metrics;
        for (AnswerCut cause : AnswerCut.values()) {
            metrics.counter(nameOf(cause));
        }
    }

    /** Adds an exchange whose whole request has been read. */
    void begun(Exchange exchange) {
        unwritten.add(exchange);
    }

    /** Removes an exchange whose answer has been written or cut, or whose caller has disconnected. */
    void ended(Exchange exchange) {
        unwritten.remove(exchange);
    }

    /** Records the answers that are not written when the process ends. */
    void cutRemaining() {
        unwritten.forEach(exchange -> exchange.recordCut(AnswerCut.STOP));
    }

    /**
     * Records an answer that the node cuts.
     *
     * @param requestId id of the request
     * @param cause reason for the cut
     * @param written whether a part of the answer had been passed to the connection
     */
    void recordCut(String requestId, AnswerCut cause, boolean written) {
        metrics.counter(nameOf(cause)).inc();
        log.request("answer_cut")
                .with("request", requestId)
                .with("cause", cause)
                .with("written", written)
                .write();
    }

    /**
     * Records a response that the node gives itself.
     *
     * @param status status of the response
     * @param reason reason for it
     * @param bodyComplete whether the request had arrived to its end
     */
    void recordImmediate(int status, String reason, boolean bodyComplete) {
        metrics.counter("answered.at.once." + status).inc();
        if (!bodyComplete) {
            metrics.counter("answered.before.body").inc();
        }
        log.request("answered_at_once")
                .with("status", status)
                .with("reason", reason)
                .with("bodyComplete", bodyComplete)
                .write();
    }

    private static String nameOf(AnswerCut cause) {
        return "answers.cut." + cause;
    }
}
