package org.apricotdeal.policy.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.NodeId;

/** Limits of all callers at one node: limiters, demand, and the ledger of shares between nodes. */
public final class CallerLimits {
    private static final long DEMAND_PERIOD_MILLIS = 100;

    /** Where a share is used up before the demand is measured, this many times the share is asked for. */
    private static final double SHORTAGE_FACTOR = 2.0;

    private static final double MIN_ASKED_PART = 0.1;

    private final ShareLedger ledger;
    private final Map<CallerId, Limited> callers = new HashMap<>();
    private long demandMillis;

    /** One caller's limiter and demand. */
    private static final class Limited {
        private final CallerLimiter limiter;
        private final CallerDemand demand;
        private CallerEntry entry;

        private Limited(CallerEntry entry, double share, long nowMillis) {
            this.entry = entry;
            this.limiter = new CallerLimiter(entry, share, nowMillis);
            this.demand = new CallerDemand(nowMillis);
        }
    }

    /**
     * Creates the limits of a node that starts.
     *
     * @param ledger the node's ledger of shares
     */
    public CallerLimits(ShareLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Takes the callers of a catalogue.
     *
     * @param nowMillis monotonic time
     * @param entries all callers
     */
    public void callersChanged(long nowMillis, List<CallerEntry> entries) {
        Map<CallerId, CallerEntry> byId = new HashMap<>();
        for (CallerEntry entry : entries) {
            byId.put(entry.id(), entry);
            Limited limited = callers.get(entry.id());
            if (limited == null) {
                double share = ledger.share(nowMillis, entry.id());
                callers.put(entry.id(), new Limited(entry, share, nowMillis));
                continue;
            }
            limited.entry = entry;
            refresh(nowMillis, limited);
        }
        callers.values().removeIf(limited -> !byId.containsKey(limited.entry.id()) && limited.limiter.inFlight() == 0);
    }

    /**
     * Takes a change of the registered nodes.
     *
     * @param nowMillis monotonic time
     * @param nodes all registered nodes, this one too
     */
    public void nodesChanged(long nowMillis, List<NodeId> nodes) {
        ledger.nodesChanged(nowMillis, nodes);
        for (Limited limited : callers.values()) {
            refresh(nowMillis, limited);
        }
    }

    /**
     * Checks whether a caller's limits allow a request, and counts the request as asked for.
     *
     * @param nowMillis monotonic time
     * @param caller the caller
     * @param tokens tokens that the request is expected to generate
     * @param outgoing takes messages to other nodes
     * @return whether the limits allow it
     */
    public LimitVerdict ask(long nowMillis, CallerId caller, double tokens, List<ShareLedger.Outgoing> outgoing) {
        Limited limited = callers.get(caller);
        if (limited == null) {
            return new LimitVerdict.Exceeded(0);
        }
        limited.demand.asked(tokens, limited.limiter.inFlight() + 1);
        LimitVerdict verdict = check(nowMillis, caller);
        if (verdict instanceof LimitVerdict.Exceeded) {
            double share = ledger.share(nowMillis, caller);
            double needed = Math.min(1, Math.max(MIN_ASKED_PART, SHORTAGE_FACTOR * share));
            outgoing.addAll(ledger.demand(nowMillis, caller, Math.max(needed, demandPart(nowMillis, limited))));
        }
        return verdict;
    }

    /**
     * Checks again whether a caller's limits allow a request that was counted before.
     *
     * @param nowMillis monotonic time
     * @param caller the caller
     * @return whether the limits allow it
     */
    public LimitVerdict check(long nowMillis, CallerId caller) {
        Limited limited = callers.get(caller);
        if (limited == null) {
            return new LimitVerdict.Exceeded(0);
        }
        refresh(nowMillis, limited);
        return limited.limiter.check(nowMillis);
    }

    /**
     * Tells whether other nodes have been asked for a part of their share and have not all answered.
     *
     * @param nowMillis monotonic time
     * @param caller the caller
     * @return true while an answer is awaited
     */
    public boolean isAsking(long nowMillis, CallerId caller) {
        return ledger.isAsking(nowMillis, caller);
    }

    /**
     * Draws on a caller's limits for an accepted request.
     *
     * @param caller the caller
     * @param tokens tokens that it is expected to generate
     */
    public void accept(CallerId caller, double tokens) {
        Limited limited = callers.get(caller);
        if (limited != null) {
            limited.limiter.accept(tokens);
        }
    }

    /**
     * Settles a request that has ended.
     *
     * @param caller the caller
     * @param expectedTokens tokens drawn when it was accepted
     * @param generatedTokens tokens that it generated
     */
    public void settle(CallerId caller, double expectedTokens, double generatedTokens) {
        Limited limited = callers.get(caller);
        if (limited != null) {
            limited.limiter.settle(expectedTokens, generatedTokens);
        }
    }

    /**
     * Takes a message of another node.
     *
     * @param nowMillis monotonic time
     * @param from the node
     * @param message the message
     * @return messages to send
     */
    public List<ShareLedger.Outgoing> received(long nowMillis, NodeId from, ShareMessage message) {
        List<ShareLedger.Outgoing> outgoing = ledger.received(nowMillis, from, message);
        Limited limited = callers.get(message.caller());
        if (limited != null) {
            refresh(nowMillis, limited);
        }
        return outgoing;
    }

    /**
     * Brings the demand of all callers up to date.
     *
     * @param nowMillis monotonic time
     * @return messages to send
     */
    public List<ShareLedger.Outgoing> tick(long nowMillis) {
        if (nowMillis - demandMillis < DEMAND_PERIOD_MILLIS) {
            return List.of();
        }
        demandMillis = nowMillis;
        List<ShareLedger.Outgoing> outgoing = new ArrayList<>();
        for (Limited limited : callers.values()) {
            outgoing.addAll(reportDemand(nowMillis, limited));
            refresh(nowMillis, limited);
        }
        return outgoing;
    }

    private List<ShareLedger.Outgoing> reportDemand(long nowMillis, Limited limited) {
        return ledger.demand(nowMillis, limited.entry.id(), demandPart(nowMillis, limited));
    }

    private static double demandPart(long nowMillis, Limited limited) {
        return limited.demand.part(nowMillis, limited.entry, limited.limiter.inFlight());
    }

    private void refresh(long nowMillis, Limited limited) {
        limited.limiter.change(limited.entry, ledger.share(nowMillis, limited.entry.id()), nowMillis);
    }
}
