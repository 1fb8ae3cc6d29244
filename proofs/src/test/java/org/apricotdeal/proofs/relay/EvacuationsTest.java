package org.apricotdeal.proofs.relay;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.policy.Evacuations;
import org.apricotdeal.relay.port.StoreRevision;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/** Tests which of the operator's words hold: they come by watches, listings and peers, repeatedly and out of order. */
public final class EvacuationsTest {
    private static final FailureDomainId A = new FailureDomainId("a");
    private static final FailureDomainId B = new FailureDomainId("b");

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static Evacuations.Change order(FailureDomainId domain, long revision) {
        return new Evacuations.Change(domain, true, revision);
    }

    private static Evacuations.Change takeBack(FailureDomainId domain, long revision) {
        return new Evacuations.Change(domain, false, revision);
    }

    @Test
    public void nothingIsKnownBeforeAListingOrAPeer() {
        Evacuations changed = Evacuations.UNKNOWN.with(List.of(order(A, 4)), at(5));
        assertFalse(changed.isKnown());
    }

    @Test
    public void orderIsTakenBackAndGivenAgain() {
        Evacuations listed = Evacuations.UNKNOWN.latest(new Evacuations(at(3), Map.of()));
        Evacuations evacuated = listed.with(List.of(order(A, 4), order(B, 5)), at(6));
        assertEquals(evacuated.sinceRevision(), Map.of(A, 4L, B, 5L));
        Evacuations again = evacuated.with(List.of(takeBack(A, 7), takeBack(B, 8), order(A, 9)), at(9));
        assertEquals(again.sinceRevision(), Map.of(A, 9L));
    }

    /** A peer that the store turns away goes on sending what it knew. */
    @Test
    public void olderWordOfPeerIsIgnored() {
        Evacuations current = new Evacuations(at(8), Map.of());
        assertEquals(current.latest(new Evacuations(at(7), Map.of(A, 5L))), current);
        assertEquals(current.latest(new Evacuations(at(9), Map.of(A, 9L))).domains(), Set.of(A));
    }

    /** The node's own watch returns changes that a peer has told before. */
    @Test
    public void changesThatPeerHasToldAreNotAppliedAgain() {
        Evacuations told = new Evacuations(at(5), Map.of()).latest(new Evacuations(at(9), Map.of(B, 8L)));
        Evacuations watched = told.with(List.of(order(A, 6), takeBack(A, 7), order(B, 8)), at(8));
        assertEquals(watched, told);
        assertEquals(told.with(List.of(order(A, 6), takeBack(B, 10)), at(10)).domains(), Set.of());
    }

    /** After lost history the deletion of a key is known only by its absence from a listing. */
    @Test
    public void listingAfterLostHistoryEndsEvacuation() {
        Evacuations before = new Evacuations(at(5), Map.of(A, 4L));
        assertEquals(before.latest(new Evacuations(at(12), Map.of(B, 11L))).domains(), Set.of(B));
    }

    /** Guards against a word that is ignored, or comes back from a peer, because a former incarnation counted further. */
    @Test
    public void laterIncarnationHoldsWhateverItsNumber() {
        Evacuations before = new Evacuations(at(50), Map.of(A, 40L));
        Evacuations restored = before.latest(new Evacuations(new StoreRevision(2, 7), Map.of()));
        assertEquals(restored.domains(), Set.of());
        assertEquals(restored.latest(before), restored);
        assertEquals(restored.with(List.of(order(A, 51)), at(51)), restored);
        assertEquals(
                restored.with(List.of(order(B, 8)), new StoreRevision(2, 8)).domains(), Set.of(B));
    }
}
