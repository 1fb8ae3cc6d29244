package org.apricotdeal.relay.policy;

import java.util.Collection;
import java.util.OptionalLong;

import org.apricotdeal.relay.model.MemoryUse;

/**
 * Decides whether a request fits into the memory of a target. An engine whose requests exceed its memory crashes with all
 * of them.
 *
 * <p>Load pattern: a crowd of prompts that are many times as large as usual ones arrives at several nodes within a
 * heartbeat, and none of them knows what the others send. Half of the memory is therefore divided by the requests that a
 * target may hold: one that is no larger than its part fits whatever the others do. The other half is for larger requests.
 * It is divided between the nodes, each of which keeps within its part by itself.
 */
final class TargetMemory {
    /** Share of the memory that is divided by the number of requests; the rest is for requests larger than such a part. */
    private static final double SMALL_SHARE = 0.5;

    /**
     * Number of requests for each slot that a target may hold for a moment, while many nodes send to few targets and have not
     * heard of each other yet; engines reject what exceeds their slots and their queue.
     */
    private static final int MAX_REQUESTS_PER_SLOT = 3;

    /** Time for which what the VM has reported holds; several heartbeat periods. */
    private static final long MAX_REPORT_AGE_MILLIS = 1_500;

    private final OptionalLong configuredTokens;
    private final int slots;
    private OptionalLong reportedLimitTokens = OptionalLong.empty();
    private double part = 1;
    private long othersReportedTokens;
    private long reportedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the memory of a target.
     *
     * @param limitTokens tokens that it can hold; empty if that is not known, so that anything fits unless its VM reports it
     * @param slots maximum number of concurrent requests
     */
    TargetMemory(OptionalLong limitTokens, int slots) {
        this.configuredTokens = limitTokens;
        this.slots = slots;
    }

    /** Sets the part of the memory for large requests that belongs to this node, from 0 to 1. */
    void setPart(double share) {
        part = share;
    }

    /** Records what the VM has reported; the running requests of this node are part of it. */
    void recordReport(MemoryUse use, Collection<RequestState> running, long nowMillis) {
        long ownTokens = running.stream().mapToLong(TargetMemory::tokens).sum();
        reportedLimitTokens = OptionalLong.of(use.limitTokens());
        othersReportedTokens = Math.max(0, use.inUseTokens() - ownTokens);
        reportedMillis = nowMillis;
    }

    /** Returns whether a request is larger than the part of the memory that each request may take. */
    boolean isLarge(RequestState request) {
        OptionalLong limit = limitTokens();
        return limit.isPresent() && tokens(request) > smallTokens(limit.getAsLong());
    }

    /** Returns whether this node could send a request to the target if it were empty. */
    boolean couldFit(RequestState request) {
        return !isLarge(request) || tokens(request) <= largeTokens(limitTokens().orElseThrow());
    }

    /**
     * Returns whether a request may be sent to the target now; one whose size is not known may.
     *
     * @param request the request
     * @param running requests of this node at the target
     * @param nowMillis monotonic time
     */
    boolean fits(RequestState request, Collection<RequestState> running, long nowMillis) {
        OptionalLong limit = limitTokens();
        if (limit.isEmpty() || request.arrival.size().isEmpty()) {
            return true;
        }
        long tokens = tokens(request);
        boolean reportIsNew = nowMillis - reportedMillis < MAX_REPORT_AGE_MILLIS;
        if (reportIsNew && othersReportedTokens + sumAbove(0, running) + tokens > limit.getAsLong()) {
            return false;
        }
        double smallTokens = smallTokens(limit.getAsLong());
        return tokens <= smallTokens || tokens + sumAbove(smallTokens, running) <= largeTokens(limit.getAsLong());
    }

    private OptionalLong limitTokens() {
        return configuredTokens.isPresent() ? configuredTokens : reportedLimitTokens;
    }

    private double smallTokens(long limitTokens) {
        return SMALL_SHARE * limitTokens / (MAX_REQUESTS_PER_SLOT * Math.max(1, slots));
    }

    private double largeTokens(long limitTokens) {
        return (1 - SMALL_SHARE) * part * limitTokens;
    }

    private static long sumAbove(double minTokens, Collection<RequestState> running) {
        long sum = 0;
        for (RequestState request : running) {
            long tokens = tokens(request);
            sum += tokens > minTokens ? tokens : 0;
        }
        return sum;
    }

    private static long tokens(RequestState request) {
        return request.arrival.size().map(size -> size.maxTokens()).orElse(0L);
    }
}
