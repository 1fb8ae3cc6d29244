package org.apricotdeal.proofs.admission;

import java.util.List;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherAction.Dispatch;
import org.apricotdeal.policy.admission.DispatcherAction.Refuse;
import org.apricotdeal.policy.admission.DispatcherAction.SendShare;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.RefusalReason;
import org.apricotdeal.policy.limits.ShareLedger;
import org.apricotdeal.policy.limits.ShareMessage;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests limits over nodes as the dispatcher applies them. */
public final class DispatcherLimitTest {
    private static final NodeId PEER = new NodeId("node-2");
    private static final CallerId NARROW = new CallerId("narrow");

    /** A node that shares limits with one peer; its own half is in force. */
    private static Sessions sharing() {
        Sessions session = Sessions.standard(4, 16);
        session.send(new DispatcherEvent.NodesChanged(List.of(Sessions.NODE, PEER)));
        session.tickAt(session.nowMillis + ShareLedger.HOLD_MILLIS);
        return session;
    }

    /** Sends requests until the node asks its peer, and returns the last one's actions. */
    private static List<DispatcherAction> exhaust(Sessions session) {
        for (int i = 0; i < 10; i++) {
            List<DispatcherAction> actions = session.arrive("q" + i, "narrow", "overnight");
            if (!Sessions.only(actions, SendShare.class).isEmpty()) {
                return actions;
            }
        }
        throw new AssertionError("the share was not used up: " + session.all);
    }

    @Test
    public void waitsForTheAnswerOfAPeerAndIsServedWithTheBorrowedShare() {
        Sessions session = sharing();
        List<DispatcherAction> asked = exhaust(session);
        assertTrue(Sessions.only(asked, Refuse.class).isEmpty(), asked.toString());
        ShareMessage ask = Sessions.only(asked, SendShare.class).getFirst().message();
        session.nowMillis += 30;
        ShareMessage grant = new ShareMessage.Grant(NARROW, 0.5, ShareLedger.TERM_MILLIS, ask.epoch());
        List<DispatcherAction> granted = session.send(new DispatcherEvent.ShareReceived(PEER, grant));
        List<DispatcherAction> later = session.tickAt(session.nowMillis + 25);
        assertEquals(
                Sessions.only(granted, Dispatch.class).size()
                        + Sessions.only(later, Dispatch.class).size(),
                1,
                granted + " " + later);
    }

    @Test
    public void isRefusedWhereThePeerHasNothingToLend() {
        Sessions session = sharing();
        List<DispatcherAction> asked = exhaust(session);
        ShareMessage ask = Sessions.only(asked, SendShare.class).getFirst().message();
        session.nowMillis += 3;
        ShareMessage denial = new ShareMessage.Grant(NARROW, 0, 0, ask.epoch());
        List<DispatcherAction> actions = session.send(new DispatcherEvent.ShareReceived(PEER, denial));
        assertEquals(Sessions.only(actions, Refuse.class).getFirst().reason(), RefusalReason.LIMIT);
    }

    @Test
    public void isRefusedWhereNoAnswerComes() {
        Sessions session = sharing();
        exhaust(session);
        List<DispatcherAction> actions = session.tickAt(session.nowMillis + 80);
        assertEquals(Sessions.only(actions, Refuse.class).getFirst().reason(), RefusalReason.LIMIT);
    }

    @Test
    public void lendsWhatItDoesNotNeed() {
        Sessions session = sharing();
        List<DispatcherAction> actions =
                session.send(new DispatcherEvent.ShareReceived(PEER, new ShareMessage.Ask(NARROW, 0.4, 77)));
        SendShare answer = Sessions.only(actions, SendShare.class).getFirst();
        assertEquals(answer.message(), new ShareMessage.Grant(NARROW, 0.4, ShareLedger.TERM_MILLIS, 77));
        session.arrive("q0", "narrow", "overnight");
        assertTrue(Sessions.only(session.all, Dispatch.class).isEmpty(), "a tenth of 4 in flight is none");
        assertEquals(session.dispatcher.waiting(), 1);
    }

    @Test
    public void cancelledWhileWaitingForAShareIsForgotten() {
        Sessions session = sharing();
        exhaust(session);
        int before = session.dispatcher.inProgress();
        session.send(new DispatcherEvent.Cancelled(new RequestId("q" + (before - 1))));
        assertEquals(session.dispatcher.inProgress(), before - 1);
        assertTrue(Sessions.only(session.tickAt(session.nowMillis + 80), Refuse.class)
                .isEmpty());
    }
}
