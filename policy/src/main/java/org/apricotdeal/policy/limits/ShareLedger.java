package org.apricotdeal.policy.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * Holds callers' limits over all nodes, without a coordinator: a node's share of every caller's limits is an equal part of
 * its own, less what it has lent to other nodes, plus what it has borrowed.
 *
 * <p>The sum of the shares in force never exceeds the whole, whatever is lost, repeated, delayed or cut off:
 *
 * <ul>
 *   <li>A node lends only of its own part; what it has borrowed it never lends on.
 *   <li>The lender counts a part as lent from before its grant leaves until the borrower has given it back, or until the
 *       term has passed since the question came in. The borrower counts the term from when it asked, which was earlier, so
 *       it stops using the part before the lender uses it or lends it again.
 *   <li>A grant is taken once, only for an open question, and only from the node that was asked. Numbers of questions grow
 *       over restarts, so that no message from before a restart passes for a later one.
 *   <li>A node that starts has forgotten what it lent: its own part comes into force only after {@value #HOLD_MILLIS} ms,
 *       longer than any term. So does the rise of its part after the set of nodes shrank; a fall is in force at once.
 * </ul>
 *
 * <p>The set of nodes is the registered one, not the reachable one. A cut therefore changes no node's own part: loans end,
 * and each side keeps to its own. A node that learns later than {@value #HOLD_MILLIS} ms of a further node makes the sum
 * exceed the whole by less than one part for that long; to rule this out would need an agreement for each change.
 *
 * <p>The unit is a part of all limits of a caller at once, because a caller's demand moves between nodes as a whole.
 */
public final class ShareLedger {
    /** Time for which a part is lent, counted by the borrower from when it asked. */
    public static final long TERM_MILLIS = 2_000;

    /** Time for which a node that starts, or whose part rises, does not use the new part yet. */
    public static final long HOLD_MILLIS = 5_000;

    private static final long LENDER_MARGIN_MILLIS = 200;
    private static final long ASK_TIMEOUT_MILLIS = 250;
    private static final long RENEW_MILLIS = 600;
    private static final long DENIED_PAUSE_MILLIS = 500;
    private static final int ASKED_AT_ONCE = 2;
    private static final int MAX_DENIALS = 8;
    private static final long NEVER = -1;
    private static final double SPARE_MARGIN = 1.1;
    private static final double MIN_GRANT = 0.001;
    private static final double EPSILON = 1e-9;
    private static final double RETURN_BELOW = 0.8;

    private final NodeId self;
    private final Map<CallerId, CallerShares> callers = new HashMap<>();
    private List<NodeId> peers = List.of();
    private boolean isStarted;
    private double ownPart;
    private double risingPart;
    private long risesMillis = NEVER;
    private long nextEpoch;

    /**
     * A message to send.
     *
     * @param to the receiving node
     * @param message the message
     */
    public record Outgoing(NodeId to, ShareMessage message) {}

    /** A part lent to or borrowed from another node. */
    private record Loan(NodeId peer, long epoch, double part, long untilMillis) {}

    /** An open question. */
    private record Question(NodeId peer, long epoch, long askedMillis) {}

    /** What a node holds of one caller's limits. */
    private static final class CallerShares {
        private final List<Loan> lent = new ArrayList<>();
        private final List<Loan> borrowed = new ArrayList<>();
        private final List<Question> open = new ArrayList<>();
        private double demand;
        private long pausedUntilMillis;
        private int nextPeer;
        private int denials;
    }

    /**
     * Creates the ledger of a node that starts.
     *
     * @param self the node
     * @param firstEpoch number of the first question; larger than any that the node used before its restart, such as the
     *     time of day in milliseconds
     */
    public ShareLedger(NodeId self, long firstEpoch) {
        this.self = self;
        this.nextEpoch = firstEpoch;
    }

    /**
     * Takes a change of the registered nodes.
     *
     * @param nowMillis monotonic time
     * @param nodes all registered nodes, this one too
     */
    public void nodesChanged(long nowMillis, List<NodeId> nodes) {
        settleRise(nowMillis);
        List<NodeId> others =
                nodes.stream().filter(node -> !node.equals(self)).sorted().toList();
        if (isStarted && others.equals(peers)) {
            return;
        }
        isStarted = true;
        peers = others;
        double changed = 1.0 / (peers.size() + 1);
        if (changed <= ownPart) {
            ownPart = changed;
            risesMillis = NEVER;
            return;
        }
        risingPart = changed;
        risesMillis = peers.isEmpty() ? nowMillis : nowMillis + HOLD_MILLIS;
        settleRise(nowMillis);
    }

    /**
     * Returns this node's share of a caller's limits in force.
     *
     * @param nowMillis monotonic time
     * @param caller the caller
     * @return from 0 to 1
     */
    public double share(long nowMillis, CallerId caller) {
        settleRise(nowMillis);
        CallerShares shares = callers.get(caller);
        if (shares == null) {
            return ownPart;
        }
        return ownInForce(nowMillis, shares) + sum(shares.borrowed, nowMillis);
    }

    /**
     * Takes the part of a caller's limits that this node needs, and asks for or gives back parts accordingly.
     *
     * @param nowMillis monotonic time
     * @param caller the caller
     * @param demand part of the limits that the node needs, from 0 to 1
     * @return messages to send
     */
    public List<Outgoing> demand(long nowMillis, CallerId caller, double demand) {
        CallerShares shares = sharesOf(caller);
        shares.demand = Math.clamp(demand, 0.0, 1.0);
        forgetEnded(nowMillis, shares);
        List<Outgoing> outgoing = new ArrayList<>();
        returnUnused(nowMillis, caller, shares, outgoing);
        askForMissing(nowMillis, caller, shares, outgoing);
        return outgoing;
    }

    /**
     * Tells whether a question about a caller is open, so that more may come soon.
     *
     * @param nowMillis monotonic time
     * @param caller the caller
     * @return true while a peer's answer is awaited
     */
    public boolean isAsking(long nowMillis, CallerId caller) {
        CallerShares shares = callers.get(caller);
        if (shares == null) {
            return false;
        }
        forgetEnded(nowMillis, shares);
        return !shares.open.isEmpty();
    }

    /**
     * Takes a message of another node.
     *
     * @param nowMillis monotonic time
     * @param from the node
     * @param message the message
     * @return messages to send
     */
    public List<Outgoing> received(long nowMillis, NodeId from, ShareMessage message) {
        CallerShares shares = sharesOf(message.caller());
        forgetEnded(nowMillis, shares);
        return switch (message) {
            case ShareMessage.Ask ask -> List.of(new Outgoing(from, answer(nowMillis, from, ask, shares)));
            case ShareMessage.Grant grant -> {
                borrow(nowMillis, from, grant, shares);
                yield List.of();
            }
            case ShareMessage.Return given -> {
                shares.lent.removeIf(loan -> loan.peer().equals(from) && loan.epoch() == given.epoch());
                yield List.of();
            }
        };
    }

    private ShareMessage answer(long nowMillis, NodeId from, ShareMessage.Ask ask, CallerShares shares) {
        for (Loan loan : shares.lent) {
            if (loan.peer().equals(from) && loan.epoch() == ask.epoch()) {
                return new ShareMessage.Grant(ask.caller(), loan.part(), TERM_MILLIS, ask.epoch());
            }
        }
        settleRise(nowMillis);
        double spare = ownInForce(nowMillis, shares) - shares.demand * SPARE_MARGIN;
        double part = Math.min(ask.wanted(), spare);
        if (part < MIN_GRANT) {
            return new ShareMessage.Grant(ask.caller(), 0, 0, ask.epoch());
        }
        shares.lent.add(new Loan(from, ask.epoch(), part, nowMillis + TERM_MILLIS + LENDER_MARGIN_MILLIS));
        double lent = sum(shares.lent, nowMillis);
        Invariants.check(
                lent <= ownPart + EPSILON,
                "limit-held",
                () -> "caller " + ask.caller() + ": lent " + lent + " of " + ownPart);
        return new ShareMessage.Grant(ask.caller(), part, TERM_MILLIS, ask.epoch());
    }

    private void borrow(long nowMillis, NodeId from, ShareMessage.Grant grant, CallerShares shares) {
        for (Question question : shares.open) {
            if (question.peer().equals(from) && question.epoch() == grant.epoch()) {
                shares.open.remove(question);
                long untilMillis = question.askedMillis() + grant.forMillis();
                if (grant.granted() > 0 && untilMillis > nowMillis) {
                    shares.borrowed.add(new Loan(from, grant.epoch(), grant.granted(), untilMillis));
                    shares.denials = 0;
                } else {
                    shares.denials++;
                }
                if (shares.denials >= Math.min(MAX_DENIALS, peers.size())) {
                    shares.pausedUntilMillis = nowMillis + DENIED_PAUSE_MILLIS;
                    shares.denials = 0;
                }
                return;
            }
        }
    }

    private void returnUnused(long nowMillis, CallerId caller, CallerShares shares, List<Outgoing> outgoing) {
        double held = ownInForce(nowMillis, shares) + sum(shares.borrowed, nowMillis);
        for (Loan loan : List.copyOf(shares.borrowed)) {
            if (shares.demand < RETURN_BELOW * (held - loan.part())) {
                shares.borrowed.remove(loan);
                held -= loan.part();
                outgoing.add(new Outgoing(loan.peer(), new ShareMessage.Return(caller, loan.epoch())));
            }
        }
    }

    private void askForMissing(long nowMillis, CallerId caller, CallerShares shares, List<Outgoing> outgoing) {
        if (peers.isEmpty() || !shares.open.isEmpty() || nowMillis < shares.pausedUntilMillis) {
            return;
        }
        double lasting = ownInForce(nowMillis, shares) + sum(shares.borrowed, nowMillis + RENEW_MILLIS);
        double missing = shares.demand - lasting;
        if (missing < MIN_GRANT) {
            return;
        }
        int asked = Math.min(ASKED_AT_ONCE, peers.size());
        for (int i = 0; i < asked; i++) {
            NodeId peer = peers.get(Math.floorMod(shares.nextPeer++, peers.size()));
            long epoch = nextEpoch++;
            shares.open.add(new Question(peer, epoch, nowMillis));
            outgoing.add(new Outgoing(peer, new ShareMessage.Ask(caller, missing, epoch)));
        }
    }

    private double ownInForce(long nowMillis, CallerShares shares) {
        return Math.max(0, ownPart - sum(shares.lent, nowMillis));
    }

    private static double sum(List<Loan> loans, long atMillis) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.untilMillis() > atMillis) {
                sum += loan.part();
            }
        }
        return sum;
    }

    private static void forgetEnded(long nowMillis, CallerShares shares) {
        shares.lent.removeIf(loan -> loan.untilMillis() <= nowMillis);
        shares.borrowed.removeIf(loan -> loan.untilMillis() <= nowMillis);
        shares.open.removeIf(question -> question.askedMillis() + ASK_TIMEOUT_MILLIS <= nowMillis);
    }

    private void settleRise(long nowMillis) {
        if (risesMillis != NEVER && nowMillis >= risesMillis) {
            ownPart = risingPart;
            risesMillis = NEVER;
        }
    }

    private CallerShares sharesOf(CallerId caller) {
        return callers.computeIfAbsent(caller, c -> new CallerShares());
    }
}
