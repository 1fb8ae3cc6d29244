package org.apricotdeal.relay.node;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.apricotdeal.relay.peer.HeardNodes;
import org.apricotdeal.wire.gen.TRelayNode;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the calls of many nodes for their registrations while the fleet is unchanged, and when a part of it is lost. */
public final class RegistrationTest {
    private static final long STARTUP_MILLIS = 10_000;
    private static final List<String> PEERS = List.of("n2", "n3", "n4");

    /** A node of a fleet of four, whose other nodes are heard by the first of them. */
    private static final class Fixture implements AutoCloseable {
        final ManualClock clock = new ManualClock();
        final RegistrationStore store = new RegistrationStore();
        final FleetDutyFixture duty = new FleetDutyFixture(clock);
        final Registration registration = registration("n1");

        Fixture() {
            PEERS.forEach(this::register);
        }

        void register(String name) {
            registration(name).runOnce();
        }

        private Registration registration(String name) {
            TRelayNode node = new TRelayNode(name, "b", "127.0.0.1:1", 1);
            return new Registration(node, store, duty.fleet, clock, duty.log);
        }

        /** Lets time pass in which the named nodes are heard, and returns how often the registrations were read. */
        int readsWhileHeard(long millis, List<String> heard) {
            int before = store.ranges;
            for (long passed = 0; passed < millis; passed += 400) {
                clock.advance(400);
                long nowMillis = clock.monotonicMillis();
                List<FleetEvent.NodeSeen> seen = heard.stream()
                        .map(name -> new FleetEvent.NodeSeen(name, heard(nowMillis), false))
                        .toList();
                duty.fleet.put(new FleetEvent.HeartbeatReceived(
                        new Peer("n2", FleetDutyFixture.OWN_DOMAIN, "h:1", 1), seen, false));
                await(peers -> heard.stream()
                        .allMatch(name -> peers.heard().containsKey(name)
                                && peers.heard().get(name).atMillis() == nowMillis));
                if (passed % 1_200 == 0) {
                    registration.runOnce();
                }
            }
            return store.ranges - before;
        }

        private static HeardNodes.Heard heard(long atMillis) {
            return new HeardNodes.Heard(atMillis, OptionalLong.empty());
        }

        private void await(Predicate<PeerSnapshot> condition) {
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (!condition.test(duty.fleet.peerSnapshot())) {
                assertTrue(
                        System.nanoTime() < endNanos, duty.fleet.peerSnapshot().toString());
                Thread.onSpinWait();
            }
        }

        @Override
        public void close() {
            duty.close();
        }
    }

    @Test
    public void unchangedFleetIsReadRarely() {
        try (Fixture fixture = new Fixture()) {
            // A starting node plans soon, and needs those that start together with it.
            assertTrue(fixture.readsWhileHeard(6_000, PEERS) >= 4);
            assertTrue(fixture.readsWhileHeard(STARTUP_MILLIS, PEERS) <= 2);
            int renewals = fixture.store.renewals;
            assertTrue(fixture.readsWhileHeard(24_000, PEERS) <= 2);
            assertEquals(fixture.store.renewals - renewals, 20);
        }
    }

    @Test
    public void lostAndNewNodesAreReadWithinOneRenewal() {
        try (Fixture fixture = new Fixture()) {
            fixture.readsWhileHeard(STARTUP_MILLIS, PEERS);
            // Two are lost together: the node reads on until their leases have ended.
            assertTrue(fixture.readsWhileHeard(6_000, List.of("n2")) >= 3);
            fixture.store.items.removeIf(item -> !item.key().endsWith("/n2"));
            fixture.readsWhileHeard(1_200, List.of("n2"));
            fixture.await(peers -> peers.peers().size() == 1);
            assertTrue(fixture.readsWhileHeard(6_000, List.of("n2")) <= 1);
            // A new one is heard of by another node.
            fixture.register("n5");
            fixture.readsWhileHeard(1_200, List.of("n2", "n5"));
            fixture.await(peers -> peers.peers().size() == 2);
        }
    }

    @Test
    public void restartedNodeIsFoundAtItsNewAddress() {
        try (Fixture fixture = new Fixture()) {
            fixture.readsWhileHeard(STARTUP_MILLIS, PEERS);
            fixture.duty.fleet.put(new FleetEvent.HeartbeatReceived(
                    new Peer("n2", FleetDutyFixture.OWN_DOMAIN, "h:2", 2), List.of(), false));
            fixture.await(peers ->
                    peers.peers().stream().anyMatch(peer -> peer.address().equals("h:2")));
        }
    }
}
