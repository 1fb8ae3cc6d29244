package org.apricotdeal.policy.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * Divides callers' limits between all nodes without a coordinator. A node's share of a caller's limits is its base share,
 * which is equal for all nodes, less the shares that it has lent to other nodes, plus those that it has borrowed.
 *
 * <p>The sum of the shares in force never exceeds 1 if messages are lost, repeated or delayed, or if the network is
 * partitioned:
 *
 * <ul>
 *   <li>A node lends only from its base share, and never from what it has borrowed.
 *   <li>The lender counts a share as lent from before it sends the grant until the borrower has returned it, or until the
 *       loan's term has passed since the question was received. The borrower counts the term from the time at which it
 *       asked, which is earlier, so it stops using the share before the lender uses it or lends it again.
 *   <li>A grant is accepted only once, only for a pending question, and only from the node that was asked. The numbers of
 *       questions increase across restarts, so that a message sent before a restart is never mistaken for a later one.
 *   <li>A node that starts has lost the record of its loans. Its base share therefore comes into force only after
 *       {@value #RISE_DELAY_MILLIS} ms, which is longer than the term of any loan. The same delay applies to an increase of
 *       the base share after the set of nodes has shrunk; a decrease is in force at once.
 * </ul>
 *
 * <p>The set of nodes is the registered set, not the reachable one, so a partition does not change any base share: loans
 * expire, and the nodes on each side keep their base shares. If a node learns of a new node more than
 * {@value #RISE_DELAY_MILLIS} ms late, the sum exceeds 1 by less than one base share until it does. Ruling this out would
 * require a consensus on every change of the set.
 *
 * <p>A share applies to all limits of a caller, because a caller's demand moves between nodes as a whole.
 */
public final class ShareLedger {
    /** Term of a loan, counted by the borrower from the time at which it asked. */
    public static final long LOAN_TERM_MILLIS = 2_000;

    /** Delay before a new or increased base share is in force. */
    public static final long RISE_DELAY_MILLIS = 5_000;

    private static final long LENDER_MARGIN_MILLIS = 200;
    private static final long ASK_TIMEOUT_MILLIS = 250;
    private static final long RENEW_BEFORE_EXPIRY_MILLIS = 600;
    private static final long PAUSE_AFTER_DENIALS_MILLIS = 500;
    private static final int PEERS_PER_ASK = 2;
    private static final int MAX_CONSECUTIVE_DENIALS = 8;
    private static final long NEVER = -1;
    private static final double SPARE_MARGIN = 1.1;
    private static final double MIN_GRANT = 0.001;
    private static final double EPSILON = 1e-9;
    private static final double RETURN_THRESHOLD = 0.8;

    private final NodeId self;
    private final Map<CallerId, CallerShares> callers = new HashMap<>();
    private List<NodeId> peers = List.of();
    private boolean isStarted;
    private double baseShare;
    private double pendingBaseShare;
    private long baseShareRisesMillis = NEVER;
    private long nextEpoch;

    /**
     * A message to send.
     *
     * @param to the receiving node
     * @param message a question, a grant or a return of a loan
     */
    public record Outgoing(NodeId to, ShareMessage message) {}

    /** A share lent to or borrowed from a peer. */
    private record Loan(NodeId peer, long epoch, double share, long expiresMillis) {}

    /** A question to a peer that has not been answered. */
    private record PendingAsk(NodeId peer, long epoch, long askedMillis) {}

    /** Loans, pending questions and demand of one caller. */
    private static final class CallerShares {
        private final List<Loan> lent = new ArrayList<>();
        private final List<Loan> borrowed = new ArrayList<>();
        private final List<PendingAsk> pendingAsks = new ArrayList<>();
        private double demand;
        private long pausedUntilMillis;
        private int nextPeer;
        private int consecutiveDenials;
    }

    /**
     * Creates the ledger of a starting node.
     *
     * @param self node that owns the ledger
     * @param firstEpoch number of the first question, such as the time of day in milliseconds; must be larger than any
     *     number that the node used before its restart
     */
    public ShareLedger(NodeId self, long firstEpoch) {
        this.self = self;
        this.nextEpoch = firstEpoch;
    }

    /**
     * Applies a change of the set of registered nodes.
     *
     * @param nowMillis monotonic time
     * @param nodes all registered nodes, including this one
     */
    public void nodesChanged(long nowMillis, List<NodeId> nodes) {
        applyDueRise(nowMillis);
        List<NodeId> others =
                nodes.stream().filter(node -> !node.equals(self)).sorted().toList();
        if (isStarted && others.equals(peers)) {
            return;
        }
        isStarted = true;
        peers = others;
        double newBaseShare = 1.0 / (peers.size() + 1);
        if (newBaseShare <= baseShare) {
            baseShare = newBaseShare;
            baseShareRisesMillis = NEVER;
            return;
        }
        pendingBaseShare = newBaseShare;
        baseShareRisesMillis = peers.isEmpty() ? nowMillis : nowMillis + RISE_DELAY_MILLIS;
        applyDueRise(nowMillis);
    }

    /**
     * Returns the share of a caller's limits that is in force at this node.
     *
     * @param nowMillis monotonic time
     * @param caller caller whose limits are meant
     * @return from 0 to 1
     */
    public double share(long nowMillis, CallerId caller) {
        applyDueRise(nowMillis);
        CallerShares shares = callers.get(caller);
        if (shares == null) {
            return baseShare;
        }
        return unlentBaseShare(nowMillis, shares) + sumOfShares(shares.borrowed, nowMillis);
    }

    /**
     * Sets the share of a caller's limits that this node needs. Asks peers for a missing share, and returns loans that are
     * no longer needed.
     *
     * @param nowMillis monotonic time
     * @param caller caller whose limits are meant
     * @param demand share of the limits that the node needs, from 0 to 1
     * @return messages to send
     */
    public List<Outgoing> updateDemand(long nowMillis, CallerId caller, double demand) {
        CallerShares shares = sharesOf(caller);
        shares.demand = Math.clamp(demand, 0.0, 1.0);
        removeExpired(nowMillis, shares);
        List<Outgoing> outgoing = new ArrayList<>();
        returnUnused(nowMillis, caller, shares, outgoing);
        askForMissingShare(nowMillis, caller, shares, outgoing);
        return outgoing;
    }

    /**
     * Returns whether a question about a caller's limits is pending, so that the share may increase soon.
     *
     * @param nowMillis monotonic time
     * @param caller caller whose limits are meant
     * @return true while the answer of a peer is pending
     */
    public boolean isAwaitingGrant(long nowMillis, CallerId caller) {
        CallerShares shares = callers.get(caller);
        if (shares == null) {
            return false;
        }
        removeExpired(nowMillis, shares);
        return !shares.pendingAsks.isEmpty();
    }

    /**
     * Handles a message from a different node.
     *
     * @param nowMillis monotonic time
     * @param from the sending node
     * @param message a question, a grant or a return of a loan
     * @return messages to send
     */
    public List<Outgoing> received(long nowMillis, NodeId from, ShareMessage message) {
        CallerShares shares = sharesOf(message.caller());
        removeExpired(nowMillis, shares);
        return switch (message) {
            case ShareMessage.Ask ask -> List.of(new Outgoing(from, answer(nowMillis, from, ask, shares)));
            case ShareMessage.Grant grant -> {
                borrow(nowMillis, from, grant, shares);
                yield List.of();
            }
            case ShareMessage.Return returned -> {
                shares.lent.removeIf(loan -> loan.peer().equals(from) && loan.epoch() == returned.epoch());
                yield List.of();
            }
        };
    }

    private ShareMessage answer(long nowMillis, NodeId from, ShareMessage.Ask ask, CallerShares shares) {
        for (Loan loan : shares.lent) {
            if (loan.peer().equals(from) && loan.epoch() == ask.epoch()) {
                return new ShareMessage.Grant(ask.caller(), loan.share(), LOAN_TERM_MILLIS, ask.epoch());
            }
        }
        applyDueRise(nowMillis);
        double spare = unlentBaseShare(nowMillis, shares) - shares.demand * SPARE_MARGIN;
        double lentShare = Math.min(ask.wanted(), spare);
        if (lentShare < MIN_GRANT) {
            return new ShareMessage.Grant(ask.caller(), 0, 0, ask.epoch());
        }
        shares.lent.add(new Loan(from, ask.epoch(), lentShare, nowMillis + LOAN_TERM_MILLIS + LENDER_MARGIN_MILLIS));
        double lent = sumOfShares(shares.lent, nowMillis);
        Invariants.check(
                lent <= baseShare + EPSILON,
                "limit-held",
                () -> "caller " + ask.caller() + ": lent " + lent + " of " + baseShare);
        return new ShareMessage.Grant(ask.caller(), lentShare, LOAN_TERM_MILLIS, ask.epoch());
    }

    private void borrow(long nowMillis, NodeId from, ShareMessage.Grant grant, CallerShares shares) {
        for (PendingAsk ask : shares.pendingAsks) {
            if (ask.peer().equals(from) && ask.epoch() == grant.epoch()) {
                shares.pendingAsks.remove(ask);
                long expiresMillis = ask.askedMillis() + grant.forMillis();
                if (grant.granted() > 0 && expiresMillis > nowMillis) {
                    shares.borrowed.add(new Loan(from, grant.epoch(), grant.granted(), expiresMillis));
                    shares.consecutiveDenials = 0;
                } else {
                    shares.consecutiveDenials++;
                }
                if (shares.consecutiveDenials >= Math.min(MAX_CONSECUTIVE_DENIALS, peers.size())) {
                    shares.pausedUntilMillis = nowMillis + PAUSE_AFTER_DENIALS_MILLIS;
                    shares.consecutiveDenials = 0;
                }
                return;
            }
        }
    }

    private void returnUnused(long nowMillis, CallerId caller, CallerShares shares, List<Outgoing> outgoing) {
        double held = unlentBaseShare(nowMillis, shares) + sumOfShares(shares.borrowed, nowMillis);
        for (Loan loan : List.copyOf(shares.borrowed)) {
            if (shares.demand < RETURN_THRESHOLD * (held - loan.share())) {
                shares.borrowed.remove(loan);
                held -= loan.share();
                outgoing.add(new Outgoing(loan.peer(), new ShareMessage.Return(caller, loan.epoch())));
            }
        }
    }

    private void askForMissingShare(long nowMillis, CallerId caller, CallerShares shares, List<Outgoing> outgoing) {
        if (peers.isEmpty() || !shares.pendingAsks.isEmpty() || nowMillis < shares.pausedUntilMillis) {
            return;
        }
        double heldAtRenewal = unlentBaseShare(nowMillis, shares)
                + sumOfShares(shares.borrowed, nowMillis + RENEW_BEFORE_EXPIRY_MILLIS);
        double missing = shares.demand - heldAtRenewal;
        if (missing < MIN_GRANT) {
            return;
        }
        int askedPeers = Math.min(PEERS_PER_ASK, peers.size());
        for (int i = 0; i < askedPeers; i++) {
            NodeId peer = peers.get(Math.floorMod(shares.nextPeer++, peers.size()));
            long epoch = nextEpoch++;
            shares.pendingAsks.add(new PendingAsk(peer, epoch, nowMillis));
            outgoing.add(new Outgoing(peer, new ShareMessage.Ask(caller, missing, epoch)));
        }
    }

    private double unlentBaseShare(long nowMillis, CallerShares shares) {
        return Math.max(0, baseShare - sumOfShares(shares.lent, nowMillis));
    }

    private static double sumOfShares(List<Loan> loans, long atMillis) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.expiresMillis() > atMillis) {
                sum += loan.share();
            }
        }
        return sum;
    }

    private static void removeExpired(long nowMillis, CallerShares shares) {
        shares.lent.removeIf(loan -> loan.expiresMillis() <= nowMillis);
        shares.borrowed.removeIf(loan -> loan.expiresMillis() <= nowMillis);
        shares.pendingAsks.removeIf(ask -> ask.askedMillis() + ASK_TIMEOUT_MILLIS <= nowMillis);
    }

    private void applyDueRise(long nowMillis) {
        if (baseShareRisesMillis != NEVER && nowMillis >= baseShareRisesMillis) {
            baseShare = pendingBaseShare;
            baseShareRisesMillis = NEVER;
        }
    }

    private CallerShares sharesOf(CallerId caller) {
        return callers.computeIfAbsent(caller, c -> new CallerShares());
    }
}
