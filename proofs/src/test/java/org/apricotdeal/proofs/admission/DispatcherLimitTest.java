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

/** Tests how the dispatcher applies limits that are shared between nodes. */
public final class DispatcherLimitTest {
    private static final NodeId PEER = new NodeId("node-2");
    private static final CallerId NARROW = new CallerId("narrow");

    /** Returns a node that shares limits with one peer, with its own half of the limits in force. */
    private static DispatcherFixture nodeWithPeer() {
        DispatcherFixture fixture = DispatcherFixture.standard(4, 16);
        fixture.send(new DispatcherEvent.NodesChanged(List.of(DispatcherFixture.NODE, PEER)));
        fixture.tickAt(fixture.nowMillis + ShareLedger.RISE_DELAY_MILLIS);
        return fixture;
    }

    /** Sends requests until the node asks its peer for a share, and returns the actions of the last request. */
    private static List<DispatcherAction> exhaustShare(DispatcherFixture fixture) {
        for (int i = 0; i < 10; i++) {
            List<DispatcherAction> actions = fixture.arrive("q" + i, "narrow", "overnight");
            if (!DispatcherFixture.ofType(actions, SendShare.class).isEmpty()) {
                return actions;
            }
        }
        throw new AssertionError("the share was not used up: " + fixture.allActions);
    }

    @Test
    public void dispatchesWaitingRequestWithShareBorrowedFromPeer() {
        DispatcherFixture fixture = nodeWithPeer();
        List<DispatcherAction> asked = exhaustShare(fixture);
        assertTrue(DispatcherFixture.ofType(asked, Refuse.class).isEmpty(), asked.toString());
        ShareMessage ask =
                DispatcherFixture.ofType(asked, SendShare.class).getFirst().message();
        fixture.nowMillis += 30;
        ShareMessage grant = new ShareMessage.Grant(NARROW, 0.5, ShareLedger.LOAN_TERM_MILLIS, ask.epoch());
        List<DispatcherAction> granted = fixture.send(new DispatcherEvent.ShareReceived(PEER, grant));
        List<DispatcherAction> later = fixture.tickAt(fixture.nowMillis + 25);
        assertEquals(
                DispatcherFixture.ofType(granted, Dispatch.class).size()
                        + DispatcherFixture.ofType(later, Dispatch.class).size(),
                1,
                granted + " " + later);
    }

    @Test
    public void refusesRequestIfPeerHasNothingToLend() {
        DispatcherFixture fixture = nodeWithPeer();
        List<DispatcherAction> asked = exhaustShare(fixture);
        ShareMessage ask =
                DispatcherFixture.ofType(asked, SendShare.class).getFirst().message();
        fixture.nowMillis += 3;
        ShareMessage denial = new ShareMessage.Grant(NARROW, 0, 0, ask.epoch());
        List<DispatcherAction> actions = fixture.send(new DispatcherEvent.ShareReceived(PEER, denial));
        assertEquals(DispatcherFixture.ofType(actions, Refuse.class).getFirst().reason(), RefusalReason.LIMIT);
    }

    @Test
    public void refusesRequestIfPeerDoesNotAnswer() {
        DispatcherFixture fixture = nodeWithPeer();
        exhaustShare(fixture);
        List<DispatcherAction> actions = fixture.tickAt(fixture.nowMillis + 80);
        assertEquals(DispatcherFixture.ofType(actions, Refuse.class).getFirst().reason(), RefusalReason.LIMIT);
    }

    @Test
    public void lendsUnusedShareToPeer() {
        DispatcherFixture fixture = nodeWithPeer();
        List<DispatcherAction> actions =
                fixture.send(new DispatcherEvent.ShareReceived(PEER, new ShareMessage.Ask(NARROW, 0.4, 77)));
        SendShare answer = DispatcherFixture.ofType(actions, SendShare.class).getFirst();
        assertEquals(answer.message(), new ShareMessage.Grant(NARROW, 0.4, ShareLedger.LOAN_TERM_MILLIS, 77));
        fixture.arrive("q0", "narrow", "overnight");
        assertTrue(
                DispatcherFixture.ofType(fixture.allActions, Dispatch.class).isEmpty(),
                "a tenth of 4 requests in flight is rounded down to none");
        assertEquals(fixture.dispatcher.waiting(), 1);
    }

    @Test
    public void removesRequestCancelledWhileAwaitingShare() {
        DispatcherFixture fixture = nodeWithPeer();
        exhaustShare(fixture);
        int before = fixture.dispatcher.inProgress();
        fixture.send(new DispatcherEvent.Cancelled(new RequestId("q" + (before - 1))));
        assertEquals(fixture.dispatcher.inProgress(), before - 1);
        assertTrue(DispatcherFixture.ofType(fixture.tickAt(fixture.nowMillis + 80), Refuse.class)
                .isEmpty());
    }
}
