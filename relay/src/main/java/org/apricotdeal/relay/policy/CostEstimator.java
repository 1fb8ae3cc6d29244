package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apricotdeal.relay.model.RequestSize;

/**
 * Estimates what the requests of a queue cost an engine, in milliseconds at an engine of usual pace. It is the only
 * place that turns token counts into times; the order of waiting requests and the choice of target use its results.
 *
 * <p>Load pattern: requests that look alike cost ten times as much as others, because their answers are longer, and
 * callers' estimates of that are often far off. The estimate follows what answers of the route took for the stated
 * length ({@link AnswerHistory}), and how the answers of the customer differed from that.
 */
final class CostEstimator {
    /** Number of customers that are remembered; those that were not seen for longest are forgotten. */
    private static final int MAX_CUSTOMERS = 2_000;

    /** Number of answers after which half of a customer's own difference is believed. */
    private static final double CUSTOMER_TRUST_ANSWERS = 5;

    /** Weight of an answer in the difference of its customer. */
    private static final double CUSTOMER_WEIGHT = 0.05;

    /** Maximum factor by which the answers of a customer differ from those of the route. */
    private static final double MAX_CUSTOMER_RATIO = 10;

    private final EngineTimes times;
    private final Map<RouteKey, AnswerHistory> routes = new HashMap<>();
    private final LinkedHashMap<CustomerKey, CustomerDifference> customers = new LinkedHashMap<>(16, 0.75f, true);

    /** Requests with a hint and without one state different lengths. */
    private record RouteKey(String route, boolean hinted) {}

    private record CustomerKey(String route, String customer) {}

    /** Mean logarithm of a customer's durations relative to those of the route. */
    private static final class CustomerDifference {
        private double meanLogRatio;
        private int answers;

        double ratio() {
            return Math.exp(meanLogRatio * answers / (answers + CUSTOMER_TRUST_ANSWERS));
        }

        void add(double ratio) {
            answers++;
            double weight = Math.max(CUSTOMER_WEIGHT, 1.0 / answers);
            double logRatio = Math.log(Math.clamp(ratio, 1 / MAX_CUSTOMER_RATIO, MAX_CUSTOMER_RATIO));
            meanLogRatio += weight * (logRatio - meanLogRatio);
        }
    }

    /**
     * Creates an estimator that has seen no answers.
     *
     * @param times times of the engine
     */
    CostEstimator(EngineTimes times) {
        this.times = times;
    }

    /**
     * Estimates the cost of a request.
     *
     * @param arrival the request
     * @param size its stated size
     * @return cost at an engine of usual pace
     */
    RequestCost estimate(Arrival arrival, RequestSize size) {
        return estimate(size, history(arrival, size), customerRatio(arrival));
    }

    /** Estimates the cost of a request that is not sent, and keeps nothing of it. */
    RequestCost preview(Arrival arrival, RequestSize size) {
        RouteKey key = routeKey(arrival, size);
        AnswerHistory known = routes.get(key);
        CustomerKey customer = new CustomerKey(arrival.route().name(), arrival.customer());
        double customerRatio = 1;
        // Reading the map by a key would make the customer the one that is forgotten last.
        for (Map.Entry<CustomerKey, CustomerDifference> entry : customers.entrySet()) {
            if (entry.getKey().equals(customer)) {
                customerRatio = entry.getValue().ratio();
            }
        }
        return estimate(size, known == null ? newHistory(key, size) : known, customerRatio);
    }

    private RequestCost estimate(RequestSize size, AnswerHistory history, double customerRatio) {
        double answerMillis = history.medianMillis(statedTokens(size)) * customerRatio * history.meanToMedian();
        double maxMillis = Math.max(1, size.maxAnswerTokens()) * times.tokenMillis();
        return new RequestCost(readMillis(size), Math.min(answerMillis, maxMillis));
    }

    /**
     * Learns from an answer.
     *
     * @param arrival the request
     * @param size its stated size
     * @param answeredMillis time from the first event to the end of the answer
     */
    void learn(Arrival arrival, RequestSize size, long answeredMillis) {
        double observedMillis = (double) Math.max(1, answeredMillis);
        double statedTokens = statedTokens(size);
        AnswerHistory history = history(arrival, size);
        double routeMedianMillis = history.medianMillis(statedTokens);
        history.add(statedTokens, observedMillis, routeMedianMillis * customerRatio(arrival));
        difference(arrival).add(observedMillis / routeMedianMillis);
    }

    private CustomerDifference difference(Arrival arrival) {
        CustomerDifference difference = customers.computeIfAbsent(
                new CustomerKey(arrival.route().name(), arrival.customer()), key -> new CustomerDifference());
        if (customers.size() > MAX_CUSTOMERS) {
            customers.pollFirstEntry();
        }
        return difference;
    }

    private double readMillis(RequestSize size) {
        return times.schedulingMillis() + size.promptTokens() * times.readMillisPerToken();
    }

    private double customerRatio(Arrival arrival) {
        CustomerDifference difference =
                customers.get(new CustomerKey(arrival.route().name(), arrival.customer()));
        return difference == null ? 1 : difference.ratio();
    }

    private AnswerHistory history(Arrival arrival, RequestSize size) {
        return routes.computeIfAbsent(routeKey(arrival, size), key -> newHistory(key, size));
    }

    private static RouteKey routeKey(Arrival arrival, RequestSize size) {
        return new RouteKey(arrival.route().name(), size.hintedAnswerTokens().isPresent());
    }

    private AnswerHistory newHistory(RouteKey key, RequestSize size) {
        return new AnswerHistory(
                key.hinted() ? times.meanAnswerTokens() : statedTokens(size),
                times.meanAnswerTokens() * times.tokenMillis());
    }

    /** Returns the caller's estimate of the answer, or else its maximum length. */
    private static double statedTokens(RequestSize size) {
        int maxTokens = Math.max(1, size.maxAnswerTokens());
        return Math.clamp(size.hintedAnswerTokens().orElse(maxTokens), 1, maxTokens);
    }
}
