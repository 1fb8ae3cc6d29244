package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.standins.users.UsersStoreStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests real nodes that share a store which returns from an older copy. */
public final class RestoredStoreNodesTest {
    private static final int DOMAINS = 2;
    private static final int NODES = 4;

    /** Changes that the store loses; more than come in the rest of a test. */
    private static final int LOST_CHANGES = 500;

    /** Time after the store's answer from which nothing may reach the VMs, according to the users' specification. */
    private static final int EVACUATION_SECONDS = 5;

    private static final int COUNTED_SECONDS = 3;
    private static final int MAX_CALLS_PER_NODE_SECOND = 10;
    private static final String KEY = "op/evacuate/a";

    private RelayFleet fleet;
    private UsersStoreStandin.Door door;
    private final List<RelayFleet.Member> nodes = new ArrayList<>();

    /** Starts nodes of which every second one calls the store through a door of its own, and makes a copy of the store. */
    @BeforeMethod
    public void start() throws Exception {
        fleet = new RelayFleet(1, 1);
        door = fleet.store.addDoor();
        for (int i = 0; i < NODES; i++) {
            String address = i % 2 == 0 ? fleet.store.address() : door.address();
            nodes.add(fleet.addNode("m" + i, "d" + i / 2 % DOMAINS, DOMAINS, address));
        }
        fleet.configure(3, RelayFleet.KEY);
        awaitServing(15);
        fleet.store.copy();
        for (int i = 0; i < LOST_CHANGES; i++) {
            fleet.store.put("op/lost", "{}");
        }
        RelayFleet.pause(1_000);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        nodes.forEach(RelayFleet.Member::close);
        nodes.clear();
        fleet.close();
    }

    private void restore(long awayMillis) {
        fleet.store.setMode(UsersStoreStandin.Mode.BUSY);
        RelayFleet.pause(awayMillis);
        fleet.store.restore();
        fleet.store.setMode(UsersStoreStandin.Mode.SERVING);
    }

    private String call(RelayFleet.Member node) {
        return fleet.call(node.callerAddress(), "POST", "/book/x", "r", RelayFleet.KEY);
    }

    private void awaitServing(int seconds) {
        RelayFleet.await(
                seconds, () -> nodes.stream().allMatch(node -> call(node).startsWith("HTTP/1.1 200")));
    }

    private void awaitEvacuated() {
        RelayFleet.await(EVACUATION_SECONDS, () -> nodes.stream()
                .allMatch(node -> call(node).startsWith("HTTP/1.1 503")));
    }

    /** Guards against nodes that ignore the operator, and call the store all the time, until its counter has caught up. */
    @Test
    public void wordsAfterRestoreAreObeyed() {
        restore(500);
        int calls = fleet.store.calls();
        RelayFleet.pause(COUNTED_SECONDS * 1_000);
        int perNodeSecond = (fleet.store.calls() - calls) / (NODES + 1) / COUNTED_SECONDS;
        assertTrue(perNodeSecond <= MAX_CALLS_PER_NODE_SECOND, perNodeSecond + " calls per node and second");
        fleet.store.put(KEY, "{}");
        awaitEvacuated();
        fleet.store.remove(KEY);
        awaitServing(EVACUATION_SECONDS);
    }

    /** Guards against peers that pass on what they knew of a former incarnation, and nodes that have missed one. */
    @Test
    public void wordsReachNodesThatMissedAnIncarnation() {
        door.setMode(UsersStoreStandin.Mode.SILENT);
        restore(200);
        restore(200);
        fleet.store.put(KEY, "{}");
        awaitEvacuated();
        restore(200);
        door.setMode(UsersStoreStandin.Mode.SERVING);
        // The copy is older than the word, so the word is gone with it.
        awaitServing(EVACUATION_SECONDS);
        fleet.store.put(KEY, "{}");
        awaitEvacuated();
    }
}
