package org.apricotdeal.proofs.relay;

import java.util.HashSet;
import java.util.Set;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.policy.IsolationDetector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that a node tells the loss of its own links from the loss of VMs. */
public final class IsolationDetectorTest {
    private static final int LISTED = 20;

    /** Number of VMs in the failure domain of the node, the first ones. */
    private static final int NEARBY = 7;

    /** Time within which a node has to know that it is isolated. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long TICK_MILLIS = 100;

    @DataProvider
    static Object[][] losses() {
        return new Object[][] {
            // name, first and last silent VM, of which other nodes report, peers are heard, isolated
            {"one VM is silent", 0, 1, 0, true, false},
            {"a fabric domain is lost", 0, 10, 10, true, false},
            {"the links are lost", 0, 20, 0, true, true},
            {"most links are lost", 0, 12, 0, true, true},
            {"few links are lost", 0, 5, 0, true, false},
            {"links are lost beside a fabric domain", 0, 20, 5, true, true},
            {"the node is cut off from the other nodes too", 0, 20, 0, false, false},
            {"the failure domain is cut off from the others", NEARBY, 20, 0, true, false},
            {"the VMs of the failure domain are lost", 0, NEARBY, 0, true, false},
        };
    }

    @Test(dataProvider = "losses")
    public void isolationIsToldFromLossOfVms(
            String name, int firstSilent, int lastSilent, int reportedCount, boolean peersHeard, boolean isolated) {
        IsolationDetector detector = new IsolationDetector();
        for (long nowMillis = 0; nowMillis < CONTACT_MILLIS; nowMillis += TICK_MILLIS) {
            if (nowMillis >= 5 * TICK_MILLIS) {
                detector.recordPeerReport(vms(0, reportedCount), nowMillis);
            }
            update(detector, vms(firstSilent, lastSilent), peersHeard, nowMillis);
        }
        assertEquals(detector.isIsolated(), isolated, name);
    }

    /** Silences of sound VMs last a second or so. */
    @Test
    public void shortSilenceOfAllVmsIsNoIsolation() {
        IsolationDetector detector = new IsolationDetector();
        for (long nowMillis = 0; nowMillis < CONTACT_MILLIS; nowMillis += TICK_MILLIS) {
            update(detector, vms(0, nowMillis < 900 ? LISTED : 0), true, nowMillis);
            assertEquals(detector.isIsolated(), false, "at " + nowMillis);
        }
    }

    @Test
    public void isolationEndsWhenMostVmsAnswer() {
        IsolationDetector detector = new IsolationDetector();
        update(detector, vms(0, LISTED), true, 0);
        update(detector, vms(0, LISTED), true, 1_000);
        assertEquals(detector.isIsolated(), true);
        update(detector, vms(0, LISTED / 2 - 1), true, 1_100);
        assertEquals(detector.isIsolated(), false);
    }

    private static void update(IsolationDetector detector, Set<VmId> silent, boolean peersHeard, long nowMillis) {
        detector.update(vms(0, LISTED), vms(0, NEARBY), silent, peersHeard, nowMillis);
    }

    private static Set<VmId> vms(int first, int last) {
        Set<VmId> vms = new HashSet<>();
        for (int i = first; i < last; i++) {
            vms.add(new VmId("v" + i));
        }
        return vms;
    }
}
