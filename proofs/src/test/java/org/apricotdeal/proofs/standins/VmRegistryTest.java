package org.apricotdeal.proofs.standins;

import java.util.List;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.standins.platform.VmRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests {@link VmRegistry} in virtual time. */
public final class VmRegistryTest {
    private static final long LAG_MILLIS = 1_500;
    private static final VmId Q1 = new VmId("q1");
    private static final VmId SPARE = new VmId("spare");

    private Scheduler scheduler;
    private VmRegistry registry;

    @BeforeMethod
    public void create() {
        scheduler = new Scheduler(1);
        registry = new VmRegistry(scheduler, LAG_MILLIS, List.of(vm(Q1), vm(SPARE)), List.of(SPARE));
    }

    @Test
    public void changeShowsAfterTheLag() {
        assertTrue(registry.state(Q1, VmState.LEAVING));
        advance(LAG_MILLIS - 1);
        assertEquals(shown(), List.of("q1 LIVE"));
        advance(1);
        assertEquals(shown(), List.of("q1 LEAVING"));
    }

    @Test
    public void removalAndArrivalShowInTheirOrder() {
        assertTrue(registry.remove(Q1));
        advance(500);
        assertTrue(registry.state(SPARE, VmState.LIVE));
        advance(LAG_MILLIS - 500);
        assertEquals(shown(), List.of());
        advance(500);
        assertEquals(shown(), List.of("spare LIVE"));
    }

    @Test
    public void unknownVmIsRefused() {
        assertFalse(registry.remove(new VmId("q9")));
        assertFalse(registry.state(new VmId("q9"), VmState.LIVE));
    }

    private void advance(long millis) {
        scheduler.runUntil(scheduler.monotonicMillis() + millis);
    }

    private List<String> shown() {
        return registry.shown().stream().map(vm -> vm.id() + " " + vm.state()).toList();
    }

    private static Vm vm(VmId id) {
        return new Vm(
                id,
                new FailureDomainId("at-east-a"),
                new FabricDomainId("at-east-a-1"),
                new UpstreamId("quote"),
                "127.0.0.1:9001",
                8,
                VmState.LIVE);
    }
}
