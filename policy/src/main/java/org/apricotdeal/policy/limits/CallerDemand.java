package org.apricotdeal.policy.limits;

import org.apricotdeal.catalogue.model.CallerEntry;

/** Measures the demand of one caller at this node, as a share of the caller's limits over all nodes. */
final class CallerDemand {
    private static final long WINDOW_MILLIS = 250;
    private static final double SMOOTHING_FACTOR = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double RATE_MARGIN = 1.2;

    private long windowStartMillis;
    private double windowTokens;
    private int windowRequests;
    private int windowPeak;
    private double tokensPerSecond;
    private double requestsPerSecond;
    private double inFlight;

    CallerDemand(long nowMillis) {
        windowStartMillis = nowMillis;
    }

    /** Counts an arrived request, whether it is accepted or not. */
    void requestArrived(double tokens, int inFlightWithIt) {
        windowTokens += tokens;
        windowRequests++;
        windowPeak = Math.max(windowPeak, inFlightWithIt);
    }

    /** Returns the share of the limits that the node needs, from 0 to 1. */
    double neededShare(long nowMillis, CallerEntry caller, int inFlightNow) {
        long passedMillis = nowMillis - windowStartMillis;
        if (passedMillis >= WINDOW_MILLIS) {
            double perSecond = MILLIS_PER_SECOND / passedMillis;
            tokensPerSecond += SMOOTHING_FACTOR * (windowTokens * perSecond - tokensPerSecond);
            requestsPerSecond += SMOOTHING_FACTOR * (windowRequests * perSecond - requestsPerSecond);
            inFlight += SMOOTHING_FACTOR * (Math.max(windowPeak, inFlightNow) - inFlight);
            windowStartMillis = nowMillis;
            windowTokens = 0;
            windowRequests = 0;
            windowPeak = 0;
        }
        double peakInFlight = Math.max(inFlight, Math.max(windowPeak, inFlightNow));
        double neededShare = Math.max(
                ratio(peakInFlight, caller.maxInFlight()),
                RATE_MARGIN
                        * Math.max(
                                ratio(tokensPerSecond, caller.tokensPerSecond()),
                                ratio(requestsPerSecond, caller.requestsPerSecond())));
        return Math.min(1, neededShare);
    }

    private static double ratio(double used, double limit) {
        return limit <= 0 ? 0 : used / limit;
    }
}
