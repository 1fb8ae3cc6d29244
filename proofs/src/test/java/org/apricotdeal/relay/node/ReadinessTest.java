package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.time.SystemClock;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that a starting node is not ready before its dispatcher has targets: it would refuse its first requests. */
public final class ReadinessTest {
    private static final long TICKS_MILLIS = 400;

    @Test
    public void listedVmsWithoutTargetsDoNotMakeTheNodeReady() throws Exception {
        try (FleetDutyFixture fixture = new FleetDutyFixture(new SystemClock())) {
            fixture.fleet.put(new FleetEvent.AllVmsListed(List.of(), Long.MAX_VALUE));
            Thread.sleep(TICKS_MILLIS);
            assertFalse(fixture.fleet.hasPublishedTargets());
            fixture.fleet.put(new FleetEvent.CatalogueChanged(UnregisteredPlannerTest.catalogue()));
            Thread.sleep(TICKS_MILLIS);
            assertTrue(fixture.fleet.hasPublishedTargets());
        }
    }

    /** A node that starts during an evacuation must not send anything to VMs before it knows of it. */
    @Test
    public void unknownEvacuationsKeepTheNodeFromGettingTargets() throws Exception {
        try (FleetDutyFixture fixture =
                new FleetDutyFixture(new SystemClock(), new FleetDutyFixture.UnreachableVmClient(), false)) {
            fixture.fleet.put(new FleetEvent.AllVmsListed(List.of(), Long.MAX_VALUE));
            fixture.fleet.put(new FleetEvent.CatalogueChanged(UnregisteredPlannerTest.catalogue()));
            Thread.sleep(TICKS_MILLIS);
            assertFalse(fixture.fleet.hasPublishedTargets());
            fixture.fleet.put(new FleetEvent.EvacuationsChanged(Set.of()));
            Thread.sleep(TICKS_MILLIS);
            assertTrue(fixture.fleet.hasPublishedTargets());
        }
    }
}
