package org.apricotdeal.proofs.relay;

import java.util.Map;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.peer.FleetLoads;
import org.apricotdeal.relay.policy.TargetId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that delegates aggregate request counts so that every node counts each request once. */
public final class FleetLoadsTest {
    private static final TargetId TARGET = new TargetId(new VmId("v1"), 1);
    private static final FailureDomainId OTHER = new FailureDomainId("b");

    private static Map<TargetId, Integer> load(int count) {
        return Map.of(TARGET, count);
    }

    /** Loads of a delegate of two nodes, with one other failure domain that reports a sum. */
    private static FleetLoads delegate(long nowMillis) {
        FleetLoads loads = new FleetLoads();
        loads.recordNode("n1", load(2), nowMillis);
        loads.recordNode("n2", load(3), nowMillis);
        loads.recordDomain(OTHER, load(10), nowMillis);
        return loads;
    }

    @Test
    public void delegateSumsDomainForPeersAndRestForEachNode() {
        FleetLoads loads = delegate(0);
        assertEquals(loads.sumOfOthers(0), load(15));
        assertEquals(loads.sumOfOwnDomain(load(1), 0), load(6));
        assertEquals(loads.sumWithout(load(1), "n1", 0), load(14));
        assertEquals(loads.sumWithout(load(1), "n2", 0), load(13));
    }

    @Test
    public void sumFromDelegateTakesPrecedence() {
        FleetLoads loads = delegate(0);
        loads.recordRest(load(7), 100);
        assertEquals(loads.sumOfOthers(200), load(7));
        assertEquals(loads.sumOfOthers(1_700), Map.of());
    }

    @Test
    public void oldReportsAreIgnored() {
        FleetLoads loads = delegate(0);
        loads.recordNode("n1", load(4), 1_400);
        assertEquals(loads.sumOfOthers(1_600), load(4));
    }
}
