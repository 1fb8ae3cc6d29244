package org.apricotdeal.proofs.relay;

import org.apricotdeal.relay.model.PromptPartId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Guards against requests with a part that crashes VMs being sent to one VM after the other. */
public final class PoisonRequestsTest {
    private static final PromptPartId DEADLY = new PromptPartId("dead");

    /** Requests with the part that may still reach a VM once the crashes had time to become known. */
    private static final int MAX_LATE_SENDS = 3;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{4, 15, 1L}, {4, 15, 2L}, {30, 60, 3L}, {37, 95, 4L}};
    }

    @Test(dataProvider = "fleets", groups = "known-red")
    public void requestsOfOneClassKeptCrashingVms(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = new PoisonedFleet(nodes, replicas, seed, (parts, target) -> parts.contains(DEADLY));
        for (int i = 0; i < 1_000; i++) {
            fleet.send("first" + i % 20);
            if (i % 20 == 7) {
                fleet.send("first7", DEADLY.value());
            }
            fleet.run(25);
        }
        assertTrue(
                fleet.lateDeadlySends() <= MAX_LATE_SENDS,
                fleet.lateDeadlySends() + " late sends, crashes at " + fleet.crashMillis());
    }
}
