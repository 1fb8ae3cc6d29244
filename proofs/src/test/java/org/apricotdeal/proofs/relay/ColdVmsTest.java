package org.apricotdeal.proofs.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.relay.model.ColdStart;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.node.RelaySettings;
import org.apricotdeal.relay.policy.ColdBounds;
import org.apricotdeal.relay.policy.ColdVm;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.VmTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Replays floods of requests at nodes whose VMs are cold or become cold, with nodes that disagree about the fleet. */
public final class ColdVmsTest {
    private static final int MAX_PER_SECOND = 39;
    private static final long SECOND_MILLIS = 1_000;
    private static final long SERVICE_MILLIS = 300;
    private static final Target COLD = RelayFixture.target("cold", 60);
    private static final Target OTHER = RelayFixture.target("other", 4);

    /** What goes wrong while the VM is cold. */
    public enum Trouble {
        NONE,
        /** Each half of the fleet knows only itself. */
        HALVES,
        /** Nodes restart in turn, several within a second. */
        RESTARTS,
        /** The others take a node for gone that still sends. */
        CUT_OFF
    }

    /** Nodes under a flood; the sends to the cold VM are recorded. */
    private static final class Fleet {
        private final List<RelayFixture> nodes = new ArrayList<>();
        private final List<List<FleetNode>> views = new ArrayList<>();
        private final Deque<Running> running = new ArrayDeque<>();
        private final List<Long> sentMillis = new ArrayList<>();
        private final long coldUntilMillis;
        private long nowMillis = 1_000;
        private int refused;

        private record Running(long endMillis, RelayFixture node, RelayAction.Send sent) {}

        Fleet(int count, long coldUntilMillis) {
            this.coldUntilMillis = coldUntilMillis;
            List<FleetNode> all = names(0, count);
            for (int i = 0; i < count; i++) {
                views.add(all);
                nodes.add(null);
                start(i);
            }
        }

        static List<FleetNode> names(int from, int to) {
            List<FleetNode> names = new ArrayList<>();
            for (int i = from; i < to; i++) {
                names.add(new FleetNode("n" + i, RelayFixture.HOME));
            }
            return names;
        }

        /** Starts a node anew; what it has sent before goes on without it. */
        void start(int index) {
            RelayFixture node = new RelayFixture("n" + index, 100, index);
            running.removeIf(request -> request.node() == nodes.get(index));
            nodes.set(index, node);
            step(node, new RelayEvent.ColdVmsChanged(cold(coldUntilMillis)));
            step(node, new RelayEvent.TargetsChanged(List.of(OTHER, COLD)));
            setView(index, views.get(index));
        }

        void setView(int index, List<FleetNode> view) {
            views.set(index, view);
            step(nodes.get(index), new RelayEvent.NodesChanged(view));
        }

        /** Lets each node receive a request at each period, and none if the period is 0. */
        void run(long millis, long periodMillis) {
            for (long end = nowMillis + millis; nowMillis < end; nowMillis += 5) {
                while (!running.isEmpty() && running.getFirst().endMillis() <= nowMillis) {
                    Running ended = running.removeFirst();
                    step(
                            ended.node(),
                            new RelayEvent.RequestFinished(ended.sent().attempt()));
                }
                for (RelayFixture node : nodes) {
                    node.nowMillis = nowMillis;
                    if (nowMillis % 25 == 0) {
                        step(node, new RelayEvent.Tick());
                    }
                    if (nowMillis % periodMillis == 0) {
                        step(node, new RelayEvent.RequestArrived(node.arrival(RetrySafety.STREAM, 2)));
                    }
                }
            }
        }

        private void step(RelayFixture node, RelayEvent event) {
            node.nowMillis = nowMillis;
            for (RelayAction action : node.step(event)) {
                if (action instanceof RelayAction.Send sent) {
                    running.addLast(new Running(nowMillis + SERVICE_MILLIS, node, sent));
                    if (sent.target().equals(COLD)) {
                        sentMillis.add(nowMillis);
                    }
                } else if (action instanceof RelayAction.Refuse) {
                    refused++;
                }
            }
        }

        int mostInSecond() {
            int most = 0;
            for (long from : sentMillis) {
                most = Math.max(most, (int) sentMillis.stream()
                        .filter(at -> at >= from && at < from + SECOND_MILLIS)
                        .count());
            }
            return most;
        }
    }

    private static Map<VmId, ColdVm> cold(long untilMillis) {
        return Map.of(COLD.id().vm(), new ColdVm(untilMillis, MAX_PER_SECOND));
    }

    @DataProvider
    public Object[][] troubles() {
        return new Object[][] {
            {Trouble.NONE, 12}, {Trouble.NONE, 3}, {Trouble.HALVES, 12}, {Trouble.RESTARTS, 12}, {Trouble.CUT_OFF, 12}
        };
    }

    /**
     * A flood at each node, far above what the cold VM tolerates: the bound holds in any second, and what it allows is
     * used.
     *
     * @param trouble what the nodes do not know of each other
     * @param count number of nodes
     */
    @Test(dataProvider = "troubles")
    public void nodesTogetherKeepWithinTheBoundOfColdVm(Trouble trouble, int count) {
        Fleet fleet = new Fleet(count, Long.MAX_VALUE);
        switch (trouble) {
            case NONE -> {}
            case HALVES -> {
                for (int i = 0; i < count; i++) {
                    boolean lower = i < count / 2;
                    fleet.setView(i, Fleet.names(lower ? 0 : count / 2, lower ? count / 2 : count));
                }
            }
            case RESTARTS -> {
                for (int i = 0; i < 3 * count; i++) {
                    fleet.run(200, 20);
                    fleet.start(i % count);
                }
            }
            case CUT_OFF -> {
                for (int gone = 0; gone < count; gone++) {
                    List<FleetNode> others = Fleet.names(0, count);
                    others.remove(gone);
                    for (int i = 0; i < count; i++) {
                        fleet.setView(i, i == gone ? Fleet.names(0, count) : others);
                    }
                    fleet.run(2_000, 20);
                }
            }
            default -> throw new IllegalStateException(trouble.name());
        }
        fleet.run(5_000, 20);
        assertTrue(fleet.mostInSecond() <= MAX_PER_SECOND, trouble + ": " + fleet.mostInSecond() + " in a second");
        int used = Math.min(count, 4) * 4;
        assertTrue(fleet.mostInSecond() >= used, trouble + ": only " + fleet.mostInSecond() + " in a second");
    }

    /** A VM becomes cold again after a full load of requests: it gets none until those of the last second have aged. */
    @Test
    public void vmThatBecomesColdWhileItServesIsSpared() {
        RelayFixture node = new RelayFixture();
        node.setNodeCount(1);
        node.step(new RelayEvent.ColdVmsChanged(cold(0)));
        node.setTargets(COLD);
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += RelayFixture.actionsOfType(node.arrive(RetrySafety.STREAM), RelayAction.Send.class)
                    .size();
        }
        assertEquals(sent, 20);
        long coldUntilMillis = node.nowMillis + 3_000;
        node.nowMillis += 1_500;
        node.step(new RelayEvent.ColdVmsChanged(cold(coldUntilMillis)));
        int sentCold = 0;
        for (int i = 0; i < 20; i++) {
            sentCold += RelayFixture.actionsOfType(node.arrive(RetrySafety.STREAM), RelayAction.Send.class)
                    .size();
        }
        assertEquals(sentCold, 5, "part of the first home node");
        node.nowMillis = coldUntilMillis;
        assertTrue(RelayFixture.actionsOfType(node.arrive(RetrySafety.STREAM), RelayAction.Send.class)
                        .size()
                > 0);
    }

    /** A domain returns cold while the others are full: what the cold VM tolerates is served, nothing of it refused. */
    @Test
    public void nothingIsRefusedThatColdVmCanTake() {
        Fleet fleet = new Fleet(4, Long.MAX_VALUE);
        fleet.run(1_500, 10_000);
        fleet.run(6_000, 275);
        assertEquals(fleet.refused, 0);
        assertTrue(fleet.mostInSecond() > 0);
    }

    private static UpstreamVm entry(long startedWallMillis, OptionalLong coldRemainingMillis) {
        return new UpstreamVm(
                COLD.id().vm(),
                new UpstreamId("chat"),
                COLD.address(),
                RelayFixture.HOME,
                Optional.empty(),
                "v1",
                20,
                false,
                startedWallMillis,
                0,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                coldRemainingMillis,
                false);
    }

    /** Entries overtake each other, and a VM says twice that it is cold: the later end counts, until it starts anew. */
    @Test
    public void coldStateBelongsToTheIncarnationAndEndsByOwnClock() {
        VmTable table = new VmTable();
        table.applyEntry(entry(1, OptionalLong.of(3_000)), 1_000);
        table.applyEntry(entry(1, OptionalLong.of(1_850)), 2_200);
        assertEquals(table.coldUntilMillis(COLD.id().vm(), 3_000), 4_000, "same end, reported twice");
        table.applyEntry(entry(1, OptionalLong.of(0)), 2_300);
        assertEquals(table.coldUntilMillis(COLD.id().vm(), 3_000), 4_000, "older word that arrived late");
        table.applyEntry(entry(1, OptionalLong.of(3_000)), 3_000);
        assertEquals(table.coldUntilMillis(COLD.id().vm(), 3_000), 6_000, "cold again");
        table.applyEntry(entry(2, OptionalLong.of(0)), 3_100);
        assertTrue(table.coldUntilMillis(COLD.id().vm(), 3_000) < 3_100, "started before there was traffic");
        table.applyEntry(entry(3, OptionalLong.empty()), 4_000);
        table.applyEntry(entry(3, OptionalLong.empty()), 5_000);
        assertEquals(table.coldUntilMillis(COLD.id().vm(), 3_000), 7_000, "unusable word: cold once, as after a start");
    }

    /** A deployment without cold VMs leaves the settings empty, which turns the limit off. */
    @Test
    public void emptySettingsTurnTheLimitOff() {
        String text = "[limits]\ncoldOverrun =%s\ncoldSlack =%s\n";
        ColdStart coldStart = new ColdStart(3_000, 23);
        assertEquals(read(String.format(text, "", "")).maxPerSecond(coldStart), 0);
        assertEquals(read(String.format(text, " 1.5", " 5")).maxPerSecond(coldStart), MAX_PER_SECOND);
        assertEquals(new ColdBounds(1.5, 5).maxPerSecond(ColdStart.UNLIMITED), 0);
    }

    private static ColdBounds read(String text) {
        Findings findings = new Findings();
        return RelaySettings.read(IniFile.parse("node.ini", text, findings), findings)
                .coldBounds();
    }
}
