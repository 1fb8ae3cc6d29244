package org.apricotdeal.proofs.relay;

import java.util.Map;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.peer.FleetLoads;
import org.apricotdeal.relay.policy.TargetId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Counts of requests reach every node once, through delegates. */
public final class FleetLoadsTest {
    private static final TargetId TARGET = new TargetId(new VmId("v1"), 1);
    private static final FailureDomainId OTHER = new FailureDomainId("b");

    private static Map<TargetId, Integer> runs(int count) {
        return Map.of(TARGET, count);
    }

    /** A delegate of two nodes, beside another failure domain of which it hears the sum. */
    private static FleetLoads delegate(long nowMillis) {
        FleetLoads loads = new FleetLoads();
        loads.ofNode("n1", runs(2), nowMillis);
        loads.ofNode("n2", runs(3), nowMillis);
        loads.ofDomain(OTHER, runs(10), nowMillis);
        return loads;
    }

    @Test
    public void delegateSumsItsDomainForOthersAndTheRestForEachNode() {
        FleetLoads loads = delegate(0);
        assertEquals(loads.others(0), runs(15));
        assertEquals(loads.domain(runs(1), 0), runs(6));
        assertEquals(loads.allBut(runs(1), "n1", 0), runs(14));
        assertEquals(loads.allBut(runs(1), "n2", 0), runs(13));
    }

    @Test
    public void nodeGoesByItsDelegateWhereItHasOne() {
        FleetLoads loads = delegate(0);
        loads.ofRest(runs(7), 100);
        assertEquals(loads.others(200), runs(7));
        assertEquals(loads.others(1_700), Map.of());
    }

    @Test
    public void oldWordCountsNoMore() {
        FleetLoads loads = delegate(0);
        loads.ofNode("n1", runs(4), 1_400);
        assertEquals(loads.others(1_600), runs(4));
    }
}
