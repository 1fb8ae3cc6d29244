package org.apricotdeal.policy.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.NodeId;

/** Limits of all callers at one node: limiters, demand, and the ledger of shares that nodes lend to each other. */
public final class CallerLimits {
    private static final long DEMAND_UPDATE_PERIOD_MILLIS = 100;

    /** Multiple of the share to ask for if the share is used up before the demand has been measured. */
    private static final double SHORTAGE_FACTOR = 2.0;

    private static final double MIN_ASKED_SHARE = 0.1;

    private final ShareLedger ledger;
    private final Map<CallerId, CallerState> callers = new HashMap<>();
    private long lastDemandUpdateMillis;

    /** Limiter and demand of one caller. */
    private static final class CallerState {
        private final CallerLimiter limiter;
        private final CallerDemand demand;
        private CallerEntry entry;

        private CallerState(CallerEntry entry, double share, long nowMillis) {
            this.entry = entry;
            this.limiter = new CallerLimiter(entry, share, nowMillis);
            this.demand = new CallerDemand(nowMillis);
        }
    }

    /**
     * Creates the limits of a starting node.
     *
     * @param ledger the node's ledger of shares
     */
    public CallerLimits(ShareLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Applies the callers of a new version of the catalogue.
     *
     * @param nowMillis monotonic time
     * @param entries entries of all callers
     */
    public void callersChanged(long nowMillis, List<CallerEntry> entries) {
        Map<CallerId, CallerEntry> byId = new HashMap<>();
        for (CallerEntry entry : entries) {
            byId.put(entry.id(), entry);
            CallerState state = callers.get(entry.id());
            if (state == null) {
                double share = ledger.share(nowMillis, entry.id());
                callers.put(entry.id(), new CallerState(entry, share, nowMillis));
                continue;
            }
            state.entry = entry;
            refresh(nowMillis, state);
        }
        callers.values().removeIf(state -> !byId.containsKey(state.entry.id()) && state.limiter.inFlight() == 0);
    }

    /**
     * Applies a change of the set of registered nodes.
     *
     * @param nowMillis monotonic time
     * @param nodes all registered nodes, including this one
     */
    public void nodesChanged(long nowMillis, List<NodeId> nodes) {
        ledger.nodesChanged(nowMillis, nodes);
        for (CallerState state : callers.values()) {
            refresh(nowMillis, state);
        }
    }

    /**
     * Checks whether a caller's limits allow an arriving request, and counts the request as demand. If the limits are used
     * up, asks other nodes to lend a share.
     *
     * @param nowMillis monotonic time
     * @param caller caller that sent the request
     * @param tokens tokens that the request is expected to generate
     * @param outgoing receives the messages to other nodes
     * @return whether the limits allow the request
     */
    public LimitVerdict checkArrival(
            long nowMillis, CallerId caller, double tokens, List<ShareLedger.Outgoing> outgoing) {
        CallerState state = callers.get(caller);
        if (state == null) {
            return new LimitVerdict.Exceeded(0);
        }
        state.demand.requestArrived(tokens, state.limiter.inFlight() + 1);
        LimitVerdict verdict = check(nowMillis, caller);
        if (verdict instanceof LimitVerdict.Exceeded) {
            double share = ledger.share(nowMillis, caller);
            double needed = Math.min(1, Math.max(MIN_ASKED_SHARE, SHORTAGE_FACTOR * share));
            outgoing.addAll(ledger.updateDemand(nowMillis, caller, Math.max(needed, neededShare(nowMillis, state))));
        }
        return verdict;
    }

    /**
     * Checks again whether a caller's limits allow a request that was already counted as demand.
     *
     * @param nowMillis monotonic time
     * @param caller caller that sent the request
     * @return whether the limits allow the request
     */
    public LimitVerdict check(long nowMillis, CallerId caller) {
        CallerState state = callers.get(caller);
        if (state == null) {
            return new LimitVerdict.Exceeded(0);
        }
        refresh(nowMillis, state);
        return state.limiter.check(nowMillis);
    }

    /**
     * Returns whether this node has asked other nodes to lend a part of their shares and not all of them have answered.
     *
     * @param nowMillis monotonic time
     * @param caller caller whose limits are meant
     * @return true while an answer is pending
     */
    public boolean isAwaitingGrant(long nowMillis, CallerId caller) {
        return ledger.isAwaitingGrant(nowMillis, caller);
    }

    /**
     * Counts an accepted request against its caller's limits.
     *
     * @param caller caller that sent the request
     * @param tokens tokens that the request is expected to generate
     */
    public void accept(CallerId caller, double tokens) {
        CallerState state = callers.get(caller);
        if (state != null) {
            state.limiter.accept(tokens);
        }
    }

    /**
     * Corrects the consumed tokens after a request has ended.
     *
     * @param caller caller that sent the request
     * @param expectedTokens tokens consumed when the request was accepted
     * @param generatedTokens tokens that the request generated
     */
    public void settle(CallerId caller, double expectedTokens, double generatedTokens) {
        CallerState state = callers.get(caller);
        if (state != null) {
            state.limiter.settle(expectedTokens, generatedTokens);
        }
    }

    /**
     * Handles a message from a different node.
     *
     * @param nowMillis monotonic time
     * @param from the sending node
     * @param message a question, a grant or a return of a loan
     * @return messages to send
     */
    public List<ShareLedger.Outgoing> received(long nowMillis, NodeId from, ShareMessage message) {
        List<ShareLedger.Outgoing> outgoing = ledger.received(nowMillis, from, message);
        CallerState state = callers.get(message.caller());
        if (state != null) {
            refresh(nowMillis, state);
        }
        return outgoing;
    }

    /**
     * Updates the demand of all callers once per update period.
     *
     * @param nowMillis monotonic time
     * @return messages to send
     */
    public List<ShareLedger.Outgoing> tick(long nowMillis) {
        if (nowMillis - lastDemandUpdateMillis < DEMAND_UPDATE_PERIOD_MILLIS) {
            return List.of();
        }
        lastDemandUpdateMillis = nowMillis;
        List<ShareLedger.Outgoing> outgoing = new ArrayList<>();
        for (CallerState state : callers.values()) {
            outgoing.addAll(updateDemand(nowMillis, state));
            refresh(nowMillis, state);
        }
        return outgoing;
    }

    private List<ShareLedger.Outgoing> updateDemand(long nowMillis, CallerState state) {
        return ledger.updateDemand(nowMillis, state.entry.id(), neededShare(nowMillis, state));
    }

    private static double neededShare(long nowMillis, CallerState state) {
        return state.demand.neededShare(nowMillis, state.entry, state.limiter.inFlight());
    }

    private void refresh(long nowMillis, CallerState state) {
        state.limiter.update(state.entry, ledger.share(nowMillis, state.entry.id()), nowMillis);
    }
}
