package org.apricotdeal.proofs.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.CallerLimits;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.policy.TargetBuilder;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.relay.policy.VmTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against each node detecting an unresponsive VM by a lost request of its own instead of a report from a peer. */
public final class SuspectedVmTest {
    private static final VmId VM = new VmId("v1");
    private static final UpstreamEntry SHOP = new UpstreamEntry(new UpstreamId("shop"), "/h", 50, Optional.empty());
    private static final RelayCatalogue CATALOGUE = new RelayCatalogue(
            1, List.of(), Map.of(SHOP.id(), SHOP), Optional.empty(), new CallerLimits(16_384, 100_000, 3_000, 15_000));

    private VmTable table;

    @BeforeMethod
    public void listVm() {
        table = new VmTable();
        table.applyEntry(entry(1), 0);
    }

    private static UpstreamVm entry(long startedWallMillis) {
        return new UpstreamVm(
                VM,
                SHOP.id(),
                "v1:80",
                new FailureDomainId("a"),
                Optional.empty(),
                "v1",
                6,
                false,
                startedWallMillis,
                UpstreamVm.ORDER_COUNT_UNKNOWN,
                List.of(),
                Optional.empty(),
                Optional.empty());
    }

    private int targets(long nowMillis) {
        return TargetBuilder.build(table, CATALOGUE, nowMillis).size();
    }

    private void applyReport(long nowMillis) {
        table.applyReport(
                VM,
                new VmReport(Optional.empty(), 1, 0, false, List.of(), Optional.empty(), Optional.empty(), 0, 0, 1),
                nowMillis);
    }

    @Test
    public void suspectedVmGetsNoRequestsAndIsNotUnresponsiveYet() {
        assertEquals(targets(10_000), 1);
        assertTrue(table.suspectOnPeerReport(VM, 9_900, 10_000), "the VM must be polled");
        assertEquals(targets(10_000), 0);
        assertFalse(table.isUnresponsive(VM));
        assertFalse(table.suspectOnPeerReport(VM, 9_950, 10_100), "the VM has already been polled");
    }

    /** The peer has missed two replies already, so each of many nodes needs to ask a lost VM only once. */
    @Test
    public void ownMissConfirmsPeerReport() {
        table.suspectOnPeerReport(VM, 9_900, 10_000);
        table.recordMissedCall(VM, 10_250);
        assertTrue(table.isUnresponsive(VM));
    }

    @Test
    public void ownReportOverridesPeerReports() {
        table.suspectOnPeerReport(VM, 9_900, 10_000);
        applyReport(10_050);
        assertEquals(targets(10_050), 1);
        assertFalse(table.suspectOnPeerReport(VM, 11_000, 11_100));
        assertEquals(targets(11_100), 1);
    }

    @Test
    public void unverifiedSuspicionExpires() {
        table.suspectOnPeerReport(VM, 9_900, 10_000);
        assertEquals(targets(11_500), 1);
    }

    /** Guards against nodes reporting a VM to each other forever although none of them polls it any more. */
    @Test
    public void oldPeerReportIsNeitherUsedNorForwarded() {
        assertFalse(table.suspectOnPeerReport(VM, 8_000, 10_000));
        table.suspectOnPeerReport(VM, 9_900, 10_000);
        assertEquals(table.recentlyUnresponsive(10_000), Map.of(VM, 9_900L));
        assertEquals(table.recentlyUnresponsive(11_000), Map.of());
    }

    @Test
    public void unresponsiveVmIsReportedToPeers() {
        table.recordMissedCall(VM, 10_000);
        assertEquals(table.recentlyUnresponsive(10_000), Map.of());
        table.recordMissedCall(VM, 10_250);
        assertEquals(table.recentlyUnresponsive(10_300), Map.of(VM, 10_250L));
        applyReport(10_400);
        assertEquals(table.recentlyUnresponsive(10_400), Map.of());
    }

    /** What a VM says itself holds until it starts again, whatever its entry says. */
    @Test
    public void vmThatLeavesIsNoTargetUntilItStartsAgain() {
        assertTrue(table.recordLeaving(new TargetId(VM, 1)));
        assertFalse(table.recordLeaving(new TargetId(VM, 1)), "this is known");
        table.applyEntry(entry(1), 10_000);
        assertEquals(targets(10_000), 0);
        table.applyEntry(entry(2), 10_100);
        assertEquals(targets(10_100), 1);
        assertFalse(table.recordLeaving(new TargetId(VM, 1)), "the answer is from before the start");
        assertEquals(targets(10_100), 1);
    }

    /** A restored store holds the entry that a VM had written before it announced that it leaves. */
    @Test
    public void olderEntryDoesNotTakeBackThatVmLeaves() {
        table.applyEntry(entry(1).withLeaving(), 10_000);
        assertEquals(targets(10_000), 0);
        table.applyEntry(entry(1), 10_100);
        assertEquals(targets(10_100), 0);
        table.applyEntry(entry(2), 10_200);
        assertEquals(targets(10_200), 1);
    }
}
