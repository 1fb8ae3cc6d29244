package org.apricotdeal.policy.limits;

import org.apricotdeal.catalogue.model.CallerEntry;

/** Measures what one caller asks of this node, as a part of its limits over all nodes. */
final class CallerDemand {
    private static final long WINDOW_MILLIS = 250;
    private static final double WEIGHT = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double MARGIN = 1.2;

    private long windowMillis;
    private double windowTokens;
    private int windowRequests;
    private int windowPeak;
    private double tokensPerSecond;
    private double requestsPerSecond;
    private double inFlight;

    CallerDemand(long nowMillis) {
        windowMillis = nowMillis;
    }

    /** Counts a request, accepted or not. */
    void asked(double tokens, int inFlightWithIt) {
        windowTokens += tokens;
        windowRequests++;
        windowPeak = Math.max(windowPeak, inFlightWithIt);
    }

    /** Returns the part of the limits that the node needs. */
    double part(long nowMillis, CallerEntry caller, int inFlightNow) {
        long passedMillis = nowMillis - windowMillis;
        if (passedMillis >= WINDOW_MILLIS) {
            double perSecond = MILLIS_PER_SECOND / passedMillis;
            tokensPerSecond += WEIGHT * (windowTokens * perSecond - tokensPerSecond);
            requestsPerSecond += WEIGHT * (windowRequests * perSecond - requestsPerSecond);
            inFlight += WEIGHT * (Math.max(windowPeak, inFlightNow) - inFlight);
            windowMillis = nowMillis;
            windowTokens = 0;
            windowRequests = 0;
            windowPeak = 0;
        }
        double peak = Math.max(inFlight, Math.max(windowPeak, inFlightNow));
        double part = Math.max(
                ratio(peak, caller.maxInFlight()),
                MARGIN
                        * Math.max(
                                ratio(tokensPerSecond, caller.tokensPerSecond()),
                                ratio(requestsPerSecond, caller.requestsPerSecond())));
        return Math.min(1, part);
    }

    private static double ratio(double used, double limit) {
        return limit <= 0 ? 0 : used / limit;
    }
}
