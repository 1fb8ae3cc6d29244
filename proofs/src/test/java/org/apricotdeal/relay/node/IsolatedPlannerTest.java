package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against a planner that has lost its links to the VMs dissolving replicas that serve other nodes. */
public final class IsolatedPlannerTest {
    private static final int VMS = 8;
    private static final int HEARTBEAT_MILLIS = 100;

    @Test
    public void planningEndsWhileVmsAnswerOtherNodesOnly() throws Exception {
        Peer peer = peerThatPlansAfter("n1");
        try (FleetDutyFixture fixture = new FleetDutyFixture(new SystemClock())) {
            fixture.fleet.put(new FleetEvent.CatalogueChanged(UnregisteredPlannerTest.catalogue()));
            fixture.fleet.put(new FleetEvent.AllVmsListed(vms(), Long.MAX_VALUE));
            sendHeartbeats(fixture, peer, 25);
            assertEquals(fixture.fleet.plans().size(), 1, fixture.logText());
            for (int misses = 0; misses < 2; misses++) {
                report(fixture, Result.err("connection refused"));
            }
            sendHeartbeats(fixture, peer, 25);
            fixture.awaitLog("isolated_from_vms");
            assertTrue(fixture.fleet.plansNoMore());
            assertEquals(fixture.fleet.plans().size(), 0, fixture.logText());
            report(fixture, Result.ok(answer()));
            sendHeartbeats(fixture, peer, 5);
            fixture.awaitLog("reaches_vms_again");
            assertFalse(fixture.fleet.plansNoMore());
            assertEquals(fixture.fleet.plans().size(), 1, fixture.logText());
        }
    }

    /** Returns a node of the same failure domain that plans only if the given one does not. */
    private static Peer peerThatPlansAfter(String name) {
        for (int i = 2; ; i++) {
            List<PlannerChoice.Candidate> both = List.of(
                    new PlannerChoice.Candidate(name, FleetDutyFixture.OWN_DOMAIN),
                    new PlannerChoice.Candidate("n" + i, FleetDutyFixture.OWN_DOMAIN));
            if (PlannerChoice.planner(FleetDutyFixture.PLANNED_DOMAIN, both).equals(Optional.of(name))) {
                return new Peer("n" + i, FleetDutyFixture.OWN_DOMAIN, "127.0.0.1:1", 1);
            }
        }
    }

    private static void sendHeartbeats(FleetDutyFixture fixture, Peer peer, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            fixture.fleet.put(new FleetEvent.PeersListed(List.of(peer)));
            fixture.fleet.put(new FleetEvent.HeartbeatReceived(peer, List.of(), false));
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    private static void report(FleetDutyFixture fixture, Result<VmReport, String> report) {
        vms().forEach(vm -> fixture.fleet.put(new FleetEvent.VmReported(vm.id(), report)));
    }

    /** Returns the report of a sound VM without a replica. */
    static VmReport answer() {
        return new VmReport(
                Optional.of(new FabricDomainId("f0")),
                1,
                0,
                false,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                1);
    }

    private static List<UpstreamVm> vms() {
        List<UpstreamVm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            vms.add(FleetDutyFixture.vm(new VmId("v" + i)));
        }
        return vms;
    }
}
