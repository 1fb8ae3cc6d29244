package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.apricotdeal.relay.node.RelayNode;
import org.apricotdeal.relay.policy.ColdBounds;
import org.apricotdeal.standins.users.UsersStoreStandin;

/**
 * A run of nodes before VMs that fall silent, beside changes of the catalogue, graceful stops and restarts, all drawn from a
 * seed. Each request that was sent whole must get a complete answer or a refusal.
 */
final class AnswersSoak implements AutoCloseable {
    private static final int NODES = 2;
    private static final int VMS = 3;
    private static final int CLIENTS_PER_NODE = 12;
    private static final int LOAD_MILLIS = 13_000;
    private static final int FIRST_EVENT_MILLIS = 500;
    private static final int LAST_EVENT_MILLIS = 9_000;
    private static final int BURST_MILLIS = 400;
    private static final int MIN_SILENCE_MILLIS = 600;
    private static final int SILENCE_SPREAD_MILLIS = 1_200;

    /** Time from the stop signal to the end of the process. */
    private static final long GRACE_MILLIS = 8_000;

    /** Time after the last byte within which a request that no VM has received may cross the end of its connection. */
    private static final long CROSSING_MILLIS = 200;

    /** Time after the stop signal within which a request that a VM runs until the end of the grace may have been sent. */
    private static final long SENT_AFTER_STOP_MILLIS = 3_000;

    private static final long DELIVERY_MILLIS = 20;
    private static final double LAST_SIXTH = 5.0 / 6;
    private static final long DEADLINE_MILLIS = 8_000;

    /** An event at a time after the start. */
    private record Event(int atMillis, Runnable action) {}

    /** A stop signal to a node. */
    private record Stop(String address, long nanos) {}

    private final long seed;
    private final boolean abrupt;
    private final Random random;
    private final UsersStoreStandin store = new UsersStoreStandin();
    private final SoakCatalogue catalogue;
    private final List<SilentVm> vms = new ArrayList<>();
    private final List<RelayFleet.Ports> ports = new ArrayList<>();
    private final RelayNode[] nodes = new RelayNode[NODES];
    private final List<KeptClient> clients = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Queue<Stop> stops = new ConcurrentLinkedQueue<>();
    private final Queue<String> trace = new ConcurrentLinkedQueue<>();
    private final long startNanos = System.nanoTime();
    final Map<String, Integer> counts = new TreeMap<>();

    /**
     * Creates a run.
     *
     * @param seed seed of its events
     * @param abrupt true to end nodes without a graceful stop, which loses answers
     */
    AnswersSoak(long seed, boolean abrupt) throws Exception {
        this.seed = seed;
        this.abrupt = abrupt;
        this.random = new Random(seed);
        this.catalogue = new SoakCatalogue(store, new Random(random.nextLong()));
        catalogue.change();
        for (int i = 0; i < VMS; i++) {
            SilentVm vm = new SilentVm();
            vms.add(vm);
            store.put(
                    "servers/v" + i,
                    "{\"service\":\"shop\",\"address\":\"" + vm.server.address()
                            + "\",\"zone\":\"a\",\"version\":\"v1\","
                            + "\"slots\":50,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":5}");
        }
        for (int i = 0; i < NODES; i++) {
            ports.add(new RelayFleet.Ports(freeAddress(), freeAddress(), freeAddress(), freeAddress()));
            startNode(i);
        }
    }

    private static String freeAddress() {
        return "127.0.0.1:" + StandinFixture.freePort();
    }

    private void startNode(int index) throws Exception {
        RelayNode node = RelayFleet.node(
                "n" + index,
                "a",
                List.of(new FailureDomainId("a")),
                ports.get(index),
                GRACE_MILLIS,
                store.address(),
                ColdBounds.OFF);
        node.start();
        nodes[index] = node;
    }

    /** Runs all events; returns the requests that were lost, each with what is known of it. */
    List<String> run() throws InterruptedException {
        RelayFleet.pause(2_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < NODES * CLIENTS_PER_NODE; i++) {
            String address = ports.get(i % NODES).callers();
            clients.add(new KeptClient("s" + seed + "c" + i, address, random.nextLong()));
        }
        draw();
        clients.forEach(client -> threads.add(Thread.ofVirtual().start(client)));
        int nowMillis = 0;
        for (Event event : events) {
            RelayFleet.pause(event.atMillis() - nowMillis);
            nowMillis = Math.max(nowMillis, event.atMillis());
            event.action().run();
        }
        RelayFleet.pause(LOAD_MILLIS - nowMillis);
        clients.forEach(KeptClient::stop);
        for (Thread thread : threads) {
            thread.join();
        }
        return lost();
    }

    private void draw() {
        for (int i = 4 + random.nextInt(5); i > 0; i--) {
            int atMillis = draw(LAST_EVENT_MILLIS);
            for (int j = random.nextInt(3); j >= 0; j--) {
                add(atMillis + random.nextInt(BURST_MILLIS), "change of the catalogue", catalogue::change);
            }
            if (random.nextBoolean()) {
                addSilence(atMillis + random.nextInt(BURST_MILLIS));
            }
        }
        for (int i = 2 + random.nextInt(3); i > 0; i--) {
            addSilence(draw(LAST_EVENT_MILLIS));
        }
        for (int i = 0; i < NODES; i++) {
            if (i == 0 || random.nextBoolean()) {
                int index = i;
                int pauseMillis = random.nextInt(500);
                add(draw(LAST_EVENT_MILLIS / 2), "stop of node " + i, () -> Thread.ofPlatform()
                        .start(() -> restart(index, pauseMillis)));
            }
        }
        events.sort(Comparator.comparingInt(Event::atMillis));
    }

    private int draw(int lastMillis) {
        return FIRST_EVENT_MILLIS + random.nextInt(lastMillis - FIRST_EVENT_MILLIS);
    }

    private void addSilence(int atMillis) {
        int millis = MIN_SILENCE_MILLIS + random.nextInt(SILENCE_SPREAD_MILLIS);
        int silent = 1 + random.nextInt(VMS);
        int first = random.nextInt(VMS);
        add(atMillis, silent + " VMs from " + first + " silent for " + millis + " ms", () -> {
            for (int i = 0; i < silent; i++) {
                vms.get((first + i) % VMS).fallSilent(millis);
            }
        });
    }

    private void add(int atMillis, String text, Runnable action) {
        events.add(new Event(atMillis, () -> {
            trace.add(millis(System.nanoTime()) + " " + text);
            action.run();
        }));
    }

    private void restart(int index, int pauseMillis) {
        RelayNode node = nodes[index];
        stops.add(new Stop(ports.get(index).callers(), System.nanoTime()));
        if (abrupt) {
            RelayFleet.pause(1_000);
        } else {
            node.stopGracefully();
        }
        // A process ends at once, other than a node that is closed: its connections end with it, and what it wrote
        // arrives.
        RelayFleet.pause(DELIVERY_MILLIS);
        trace.add(millis(System.nanoTime()) + " end of node " + index);
        clientsOf(index).forEach(KeptClient::nodeEnded);
        node.close();
        RelayFleet.pause(pauseMillis);
        try {
            startNode(index);
            clientsOf(index).forEach(KeptClient::nodeStarted);
        } catch (Exception e) {
            throw new IllegalStateException("node " + index + " does not start", e);
        }
    }

    private List<KeptClient> clientsOf(int index) {
        String address = ports.get(index).callers();
        return clients.stream().filter(client -> client.isAt(address)).toList();
    }

    private List<String> lost() {
        List<String> lost = new ArrayList<>();
        for (KeptClient client : clients) {
            for (KeptClient.Ended ended : client.exchanges) {
                Optional<String> excuse = excuse(ended);
                boolean isLost = isUnanswered(ended) && excuse.isEmpty();
                counts.merge(isLost ? "lost" : excuse.orElse(ended.end() + " " + ended.detail()), 1, Integer::sum);
                if (isLost) {
                    lost.add("seed " + seed + ", " + millis(ended.startNanos()) + " ms: " + ended + ", sent at "
                            + millis(ended.sentNanos()) + ", ended at " + millis(ended.endNanos())
                            + ", received by a VM: "
                            + isReceived(ended));
                }
            }
        }
        if (!lost.isEmpty()) {
            lost.addAll(trace);
        }
        return lost;
    }

    private static boolean isUnanswered(KeptClient.Ended ended) {
        return ended.end() == KeptClient.End.CUT || ended.end() == KeptClient.End.PENDING;
    }

    /** Returns why the rule on lost requests does not count a cut; the VMs of this run never break off by themselves. */
    private Optional<String> excuse(KeptClient.Ended ended) {
        if (ended.end() != KeptClient.End.CUT) {
            return Optional.empty();
        }
        if (!isReceived(ended) && ended.millisAfterSent() <= CROSSING_MILLIS) {
            return Optional.of("excused: crossed the end of its connection");
        }
        if (ended.millisToEnd() >= Math.min(DEADLINE_MILLIS, catalogue.timeoutMillis(ended.startNanos()))) {
            return Optional.of("excused: timeout");
        }
        boolean ranToTheEndOfGrace = isReceived(ended)
                && stops.stream()
                        .filter(stop -> stop.address().equals(ended.address()))
                        .anyMatch(stop -> isBefore(ended.sentNanos(), stop, SENT_AFTER_STOP_MILLIS)
                                && !isBefore(ended.endNanos(), stop, GRACE_MILLIS * LAST_SIXTH)
                                && isBefore(ended.endNanos(), stop, GRACE_MILLIS + 1_000));
        return ranToTheEndOfGrace ? Optional.of("excused: last sixth of the grace") : Optional.empty();
    }

    private static boolean isBefore(long nanos, Stop stop, double millis) {
        return nanos - stop.nanos() <= millis * TimeUnit.MILLISECONDS.toNanos(1);
    }

    private boolean isReceived(KeptClient.Ended ended) {
        return vms.stream().anyMatch(vm -> vm.hasReceived(ended.id()));
    }

    private long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - startNanos);
    }

    @Override
    public void close() throws IOException {
        for (RelayNode node : nodes) {
            node.close();
        }
        for (SilentVm vm : vms) {
            vm.close();
        }
        store.close();
    }
}
