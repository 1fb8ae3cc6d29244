package org.apricotdeal.relay.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.Counter;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.HostPort;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.proofs.http.ScriptedServer;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against a node that is late itself taking sound VMs for silent and itself for isolated, and asking them ever more. */
public final class OverloadedNodeTest {
    private static final int VMS = 24;
    private static final int TURN_MILLIS = 200;
    private static final int LATE_TURNS = 25;
    private static final int TURNS_AFTER = 15;

    /** Time of three turns in which the reading thread does something else. */
    private static final long BUSY_MILLIS = 590;

    private static final int MAX_REPORTS_PER_SECOND = 20;
    private static final int MAX_REPORTS_AT_ONCE = 40;

    private final Clock clock = new SystemClock();

    @Test
    public void lateNodeTookSoundVmsForSilentAndItselfForIsolated() throws Exception {
        QueuedThreadPool threads = RelayClients.newThreadPool();
        UpstreamConnector connector = new UpstreamConnector(new Counter());
        HttpClient client = RelayClients.startClient(threads, connector);
        try (ScriptedServer vms = new ScriptedServer(OverloadedNodeTest::answerAll)) {
            CountingVmClient vmClient = new CountingVmClient(client, vms.address());
            try (FleetDutyFixture fixture = new FleetDutyFixture(clock, vmClient)) {
                fixture.fleet.put(new FleetEvent.CatalogueChanged(UnregisteredPlannerTest.catalogue()));
                fixture.fleet.put(new FleetEvent.AllVmsListed(vms(), Long.MAX_VALUE));
                run(fixture, connector, LATE_TURNS, BUSY_MILLIS);
                int askedLate = vmClient.asked.get();
                int maxAsked = MAX_REPORTS_AT_ONCE + MAX_REPORTS_PER_SECOND * LATE_TURNS * TURN_MILLIS / 1_000;
                assertFalse(fixture.logText().contains("vm_silent"), fixture.logText());
                assertFalse(fixture.logText().contains("isolated_from_vms"), fixture.logText());
                assertTrue(askedLate <= maxAsked, askedLate + " reports asked");
                run(fixture, connector, TURNS_AFTER, 0);
                assertTrue(vmClient.answered.get() >= VMS, vmClient.answered + " of " + vmClient.asked + " answered");
                assertTrue(fixture.fleet.unresponsiveVms().isEmpty());
            } finally {
                client.stop();
                threads.stop();
            }
        }
    }

    /** Lets the node doubt all VMs each turn, as failed attempts do, while its reading thread is busy for a part of it. */
    private void run(FleetDutyFixture fixture, UpstreamConnector connector, int turns, long busyMillis)
            throws InterruptedException {
        Peer peer = new Peer("n2", FleetDutyFixture.OWN_DOMAIN, "127.0.0.1:1", 1);
        HealthProbe probe = new HealthProbe(fixture.health, connector::runOnSelector, millis -> {}, clock, TURN_MILLIS);
        List<VmId> doubted = vms().stream().map(UpstreamVm::id).toList();
        for (int i = 0; i < turns; i++) {
            fixture.fleet.put(new FleetEvent.HeartbeatReceived(peer, List.of(), false));
            probe.tick();
            fixture.fleet.suspect(doubted, Optional.empty(), "no connection");
            // For longer than two reports may take.
            if (busyMillis > 0 && i % 3 == 0) {
                connector.runOnSelector(() -> sleep(busyMillis));
            }
            TimeUnit.MILLISECONDS.sleep(TURN_MILLIS);
        }
    }

    private static List<UpstreamVm> vms() {
        List<UpstreamVm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            vms.add(FleetDutyFixture.vm(new VmId("v" + i)));
        }
        return vms;
    }

    private static void answerAll(ScriptedServer.Connection connection) throws IOException {
        while (true) {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks one server for the reports of all VMs over a real client. */
    private static final class CountingVmClient extends FleetDutyFixture.UnreachableVmClient {
        private final HttpClient client;
        private final HostPort address;
        private final AtomicInteger asked = new AtomicInteger();
        private final AtomicInteger answered = new AtomicInteger();

        CountingVmClient(HttpClient client, String address) {
            this.client = client;
            this.address = HostPort.parse(address);
        }

        @Override
        public CompletableFuture<Result<VmReport, String>> report(UpstreamVm vm, long timeoutMillis) {
            asked.incrementAndGet();
            return new CompletableResponseListener(client.newRequest(address.host(), address.port())
                            .timeout(timeoutMillis, TimeUnit.MILLISECONDS))
                    .send()
                    .handle((response, failure) -> {
                        if (failure != null) {
                            return Result.err("timeout");
                        }
                        answered.incrementAndGet();
                        return Result.ok(IsolatedPlannerTest.answer());
                    });
        }
    }
}
