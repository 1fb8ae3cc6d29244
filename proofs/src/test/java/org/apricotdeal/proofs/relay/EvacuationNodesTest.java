package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.standins.users.UsersStoreStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;

/** Tests evacuations of the failure domain of all VMs with real nodes that share a store. */
public final class EvacuationNodesTest {
    private static final int DOMAINS = 3;

    /** Time after the store's answer from which nothing may reach the VMs, according to the users' specification. */
    private static final int EVACUATION_SECONDS = 5;

    private static final String KEY = "op/evacuate/a";

    private RelayFleet fleet;
    private final List<RelayFleet.Member> nodes = new ArrayList<>();

    @BeforeMethod
    public void start() throws Exception {
        fleet = new RelayFleet(1, 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        nodes.forEach(RelayFleet.Member::close);
        nodes.clear();
        fleet.close();
    }

    private String call(RelayFleet.Member node) {
        return fleet.call(node.callerAddress(), "POST", "/book/x", "r", RelayFleet.KEY);
    }

    private void awaitServing(int seconds) {
        RelayFleet.await(
                seconds, () -> nodes.stream().allMatch(node -> call(node).startsWith("HTTP/1.1 200")));
    }

    private void awaitEvacuated(int seconds) {
        RelayFleet.await(seconds, () -> nodes.stream().allMatch(node -> isRefused(call(node))));
    }

    private static boolean isRefused(String answer) {
        return answer.startsWith("HTTP/1.1 503") && answer.contains("evacuated") && answer.contains("Retry-After");
    }

    /** Nodes to which the store is silent hear of the order, and that it is taken back, from their neighbours. */
    @Test
    public void nodesThatStoreDoesNotAnswerHearFromNeighbours() throws Exception {
        UsersStoreStandin.Door door = fleet.store.addDoor();
        for (int i = 0; i < 2 * DOMAINS; i++) {
            String address = i % 2 == 0 ? fleet.store.address() : door.address();
            nodes.add(fleet.addNode("m" + i, "d" + i % DOMAINS, DOMAINS, address));
        }
        fleet.configure(3, RelayFleet.KEY);
        awaitServing(15);
        door.setMode(UsersStoreStandin.Mode.SILENT);
        fleet.store.put(KEY, "{}");
        awaitEvacuated(EVACUATION_SECONDS);
        fleet.store.put("op/evacuate/", "no name");
        fleet.store.put("op/evacuate/unknown", "no JSON");
        fleet.store.remove(KEY);
        awaitServing(EVACUATION_SECONDS);
    }

    /** A node that starts during an evacuation sends nothing before it knows of it; then the history is lost. */
    @Test
    public void nodeThatStartsDuringEvacuationSendsNothing() throws Exception {
        fleet.configure(3, RelayFleet.KEY);
        fleet.store.put(KEY, "not even JSON");
        nodes.add(fleet.addNode("m0", "d0", DOMAINS));
        RelayFleet.await(15, () -> {
            String answer = call(nodes.getFirst());
            assertFalse(answer.startsWith("HTTP/1.1 200"), answer);
            return isRefused(answer);
        });
        fleet.store.remove(KEY);
        fleet.store.compact();
        awaitServing(EVACUATION_SECONDS);
    }
}
