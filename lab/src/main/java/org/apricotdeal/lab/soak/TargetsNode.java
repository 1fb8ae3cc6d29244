package org.apricotdeal.lab.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.relay.model.ColdStart;
import org.apricotdeal.relay.peer.HeartbeatPartners;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.AttemptId;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.ColdVm;
import org.apricotdeal.relay.policy.Evacuations;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetBuilder;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.relay.policy.VmTable;
import org.apricotdeal.relay.port.StoreRevision;

/**
 * A node in relay mode in the randomised run of targets: its own decision objects, with watches, heartbeats and connections
 * on the virtual clock. It may restart, which forgets all, and freeze, which defers all.
 */
final class TargetsNode {
    private static final long TICK_MILLIS = 25;
    private static final long FLEET_TICK_MILLIS = 100;
    private static final long HEARTBEAT_MILLIS = 200;
    private static final long WATCH_MILLIS = 100;
    private static final long MAX_ARRIVAL_GAP_MILLIS = 24;
    private static final long MAX_CONNECT_MILLIS = 40;
    private static final long TIMEOUT_MILLIS = 6_000;
    private static final long REMOVAL_DELAY_MILLIS = 1_000;
    private static final double LATE_ANSWERS = 0.1;
    private static final long MAX_LATE_MILLIS = 1_500;
    private static final long NO_WAIT_MILLIS = 1_200;

    final FleetNode self;
    private final TargetsWorld world;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private int process;
    private boolean running;
    private boolean frozen;
    private long exchangeCount;

    private RelayDispatcher dispatcher;
    private HeartbeatPartners partners;
    private Evacuations words;
    private VmTable table;
    private StoreRevision watchedRevision;
    private Map<VmId, TargetsStore.ToldEntry> entries;
    private Map<VmId, ColdVm> coldVms;
    private Map<VmId, StoreRevision> toldRevisions;
    private List<Target> targets;
    private Map<String, Map<TargetId, Integer>> peerLoads;
    private Map<ExchangeId, AttemptId> attempts;
    private List<FleetNode> view = List.of();

    /** A heartbeat, which carries words and entries as its sender knows them. */
    private record Heartbeat(
            FleetNode sender,
            Evacuations words,
            Map<VmId, TargetsStore.ToldEntry> entries,
            Map<TargetId, Integer> loads) {}

    TargetsNode(FleetNode self, TargetsWorld world) {
        this.self = self;
        this.world = world;
        this.scheduler = world.scheduler();
        this.random = scheduler.random();
    }

    boolean isRunning() {
        return running && !frozen;
    }

    /** Starts a process that knows nothing. */
    void start() {
        process++;
        running = true;
        frozen = false;
        deferred.clear();
        RetryBudget budget = new RetryBudget(10_000, 0.2, 20, 1);
        dispatcher = new RelayDispatcher(self, budget, RandomSource.SPLIT_MIX_64.create(random.nextLong()));
        partners = new HeartbeatPartners(candidate(self));
        words = Evacuations.UNKNOWN;
        table = new VmTable();
        watchedRevision = StoreRevision.NONE;
        entries = new HashMap<>();
        coldVms = Map.of();
        toldRevisions = new HashMap<>();
        targets = List.of();
        peerLoads = new HashMap<>();
        attempts = new HashMap<>();
        view = List.of();
        repeat(TICK_MILLIS, () -> step(new RelayEvent.Tick()));
        repeat(FLEET_TICK_MILLIS, this::fleetTick);
        repeat(HEARTBEAT_MILLIS, this::sendHeartbeats);
        repeat(WATCH_MILLIS, this::watch);
        later(random.nextLong(MAX_ARRIVAL_GAP_MILLIS), this::arrive);
        later(random.nextLong(MAX_CONNECT_MILLIS), () -> setView(world.viewOf(this)));
    }

    /** Ends the process; what it has sent runs on at the VMs. */
    void kill() {
        process++;
        running = false;
        view = List.of();
    }

    void freeze() {
        frozen = true;
    }

    /** Goes on after a freeze with what was due meanwhile, in the order in which it was due. */
    void resume() {
        frozen = false;
        int current = process;
        while (!deferred.isEmpty() && process == current) {
            deferred.removeFirst().run();
        }
    }

    /** Tells the dispatcher which nodes there are, at once or after a freeze. */
    void setView(List<FleetNode> nodes) {
        run(process, () -> {
            if (nodes.equals(view)) {
                return;
            }
            boolean first = view.isEmpty();
            view = nodes;
            boolean early = first && world.fault() == TargetsFault.NO_WAIT_AFTER_RESTART;
            long atMillis = scheduler.monotonicMillis() - (early ? NO_WAIT_MILLIS : 0);
            execute(dispatcher.step(atMillis, new RelayEvent.NodesChanged(nodes)));
        });
    }

    List<FleetNode> view() {
        return view;
    }

    Set<FailureDomainId> evacuated() {
        return words.domains();
    }

    private void later(long delayMillis, Runnable body) {
        int current = process;
        scheduler.after(delayMillis, () -> run(current, body));
    }

    private void run(int ofProcess, Runnable body) {
        if (ofProcess != process) {
            return;
        }
        if (frozen) {
            deferred.addLast(() -> run(ofProcess, body));
        } else {
            body.run();
        }
    }

    /** Repeats a task while the process lives; a frozen process is late with one of them, not with all. */
    private void repeat(long periodMillis, Runnable body) {
        later(1 + random.nextLong(periodMillis), () -> {
            body.run();
            repeatAfter(periodMillis, body);
        });
    }

    private void repeatAfter(long periodMillis, Runnable body) {
        later(periodMillis, () -> {
            body.run();
            repeatAfter(periodMillis, body);
        });
    }

    // Words and entries.

    /** Asks the store what is new; some answers come late and out of order. */
    private void watch() {
        if (!world.storeAnswers(this)) {
            return;
        }
        StoreRevision asked = watchedRevision;
        TargetsStore.Answer answer = world.fault() == TargetsFault.ORDER_BY_NUMBER_ALONE
                ? world.store().answer(asked.number())
                : world.store().answer(asked);
        boolean late = random.nextDouble() < LATE_ANSWERS;
        later(1 + random.nextLong(late ? MAX_LATE_MILLIS : MAX_CONNECT_MILLIS), () -> {
            if (!asked.isKnown() || answer.changes().isEmpty()) {
                adopt(latest(answer.listing()));
            } else {
                adopt(words.with(answer.changes().get(), answer.listing().revision()));
            }
            answer.vms().forEach(this::applyEntry);
            StoreRevision answered = answer.listing().revision();
            watchedRevision = isLater(answered, watchedRevision) ? answered : watchedRevision;
        });
    }

    private Evacuations latest(Evacuations told) {
        return switch (world.fault()) {
            case LAST_WORD_WINS -> told;
            case ORDER_BY_NUMBER_ALONE -> isLater(told.revision(), words.revision()) ? told : words;
            default -> words.latest(told);
        };
    }

    private boolean isLater(StoreRevision told, StoreRevision known) {
        return world.fault() == TargetsFault.ORDER_BY_NUMBER_ALONE
                ? told.number() > known.number()
                : told.isAfter(known);
    }

    private void adopt(Evacuations adopted) {
        Invariants.check(
                !words.revision().isAfter(adopted.revision()),
                "evacuations-monotonic",
                () -> self.name() + " goes back from " + words + " to " + adopted);
        boolean changed =
                words.isKnown() != adopted.isKnown() || !words.domains().equals(adopted.domains());
        words = adopted;
        if (changed) {
            world.trace().add(self.name(), self.name() + " knows that " + adopted.domains() + " are evacuated");
            if (world.fault() != TargetsFault.EVACUATIONS_NOT_OBEYED) {
                step(new RelayEvent.EvacuationsChanged(adopted.domains()));
            }
        }
    }

    private void applyEntry(TargetsStore.ToldEntry write) {
        TargetsStore.ToldEntry known = entries.get(write.vm());
        if (known != null && !isLater(write.revision(), known.revision())) {
            return;
        }
        entries.put(write.vm(), write);
        long nowMillis = scheduler.monotonicMillis();
        if (write.entry().isPresent()) {
            table.applyEntry(write.entry().get(), nowMillis);
        } else {
            table.removeEntryLater(write.vm(), nowMillis + REMOVAL_DELAY_MILLIS);
        }
    }

    private void fleetTick() {
        if (!words.isKnown()) {
            return;
        }
        long nowMillis = scheduler.monotonicMillis();
        table.removeExpired(nowMillis);
        publishColdVms();
        List<Target> built = TargetBuilder.build(table, world.catalogue(), nowMillis);
        if (!Set.copyOf(built).equals(Set.copyOf(targets))) {
            targets = built;
            step(new RelayEvent.TargetsChanged(built));
        }
    }

    private void publishColdVms() {
        ColdStart coldStart = TargetsWorld.COLD_START;
        int maxPerSecond = TargetsWorld.COLD_BOUNDS.maxPerSecond(coldStart);
        boolean whole = world.fault() == TargetsFault.WHOLE_BOUND_FOR_EACH_SET;
        Map<VmId, ColdVm> changed = new HashMap<>();
        table.all()
                .forEach(vm -> changed.put(
                        vm.id(),
                        new ColdVm(
                                table.coldUntilMillis(vm.id(), coldStart.startMillis()),
                                whole ? 2 * maxPerSecond : maxPerSecond)));
        if (!changed.equals(coldVms) && world.fault() != TargetsFault.COLD_VMS_NOT_LIMITED) {
            coldVms = changed;
            step(new RelayEvent.ColdVmsChanged(changed));
        }
        entries.forEach((vm, write) -> toldRevisions.put(vm, write.revision()));
    }

    // Heartbeats.

    private static PlannerChoice.Candidate candidate(FleetNode node) {
        return new PlannerChoice.Candidate(node.name(), node.failureDomain());
    }

    private void sendHeartbeats() {
        List<PlannerChoice.Candidate> peers = world.nodes().stream()
                .filter(node -> node != this)
                .map(node -> candidate(node.self))
                .toList();
        for (String name : partners.choose(peers, Set.of(), scheduler.monotonicMillis())) {
            TargetsNode peer = world.node(name);
            send(peer, heartbeat -> {
                peer.receive(heartbeat);
                peer.send(this, this::receive);
            });
        }
    }

    private void send(TargetsNode peer, Consumer<Heartbeat> delivery) {
        Heartbeat heartbeat = new Heartbeat(self, words, Map.copyOf(entries), dispatcher.runningRequests());
        world.network().send(self.name(), peer.self.name(), () -> {
            if (peer.isRunning()) {
                delivery.accept(heartbeat);
            }
        });
    }

    private void receive(Heartbeat heartbeat) {
        partners.recordHeartbeat(heartbeat.sender().name(), scheduler.monotonicMillis());
        if (world.fault() != TargetsFault.PEERS_TELL_NOTHING
                && heartbeat.words().isKnown()) {
            adopt(latest(heartbeat.words()));
        }
        heartbeat.entries().values().forEach(this::applyEntry);
        peerLoads.put(heartbeat.sender().name(), heartbeat.loads());
        Map<TargetId, Integer> sum = new HashMap<>();
        peerLoads.values().forEach(loads -> loads.forEach((target, count) -> sum.merge(target, count, Integer::sum)));
        step(new RelayEvent.PeerLoadsChanged(sum));
    }

    // Requests.

    private void arrive() {
        later(1 + random.nextLong(MAX_ARRIVAL_GAP_MILLIS), this::arrive);
        long nowMillis = scheduler.monotonicMillis();
        ExchangeId id = new ExchangeId(++exchangeCount);
        Arrival arrival = new Arrival(
                id,
                TargetsWorld.QUEUE,
                world.route(),
                List.of(),
                "customer-" + exchangeCount,
                1,
                nowMillis,
                nowMillis + TIMEOUT_MILLIS);
        List<RelayAction> actions = dispatcher.step(nowMillis, new RelayEvent.RequestArrived(arrival));
        if (!targets.isEmpty()
                && targets.stream().allMatch(target -> words.domains().contains(target.failureDomain()))) {
            Invariants.check(
                    world.fault() == TargetsFault.EVACUATIONS_NOT_OBEYED || isTrueRefusal(actions),
                    "evacuated-refused",
                    () -> self.name() + " answers " + actions + " while all targets are evacuated");
            world.checks().refusedForEvacuation();
        }
        execute(actions);
    }

    private static boolean isTrueRefusal(List<RelayAction> actions) {
        return actions.size() == 1
                && actions.getFirst() instanceof RelayAction.Refuse refusal
                && refusal.reason() == RefusalReason.EVACUATED
                && refusal.retryAfterMillis() > 0;
    }

    private void step(RelayEvent event) {
        execute(dispatcher.step(scheduler.monotonicMillis(), event));
    }

    private void execute(List<RelayAction> actions) {
        for (RelayAction action : actions) {
            switch (action) {
                case RelayAction.Send send -> {
                    attempts.put(send.id(), send.attempt());
                    StoreRevision toldRevision =
                            toldRevisions.getOrDefault(send.target().id().vm(), StoreRevision.NONE);
                    later(1 + random.nextLong(MAX_CONNECT_MILLIS), () -> begin(send, toldRevision));
                }
                case RelayAction.CancelAttempts(ExchangeId id) -> attempts.remove(id);
                case RelayAction.CancelAttempt(AttemptId attempt) -> attempts.remove(attempt.exchange(), attempt);
                case RelayAction.Refuse refusal -> attempts.remove(refusal.id());
                case RelayAction.GiveUp(ExchangeId id, RefusalReason reason) -> attempts.remove(id);
                case RelayAction.DropExchange(ExchangeId id) -> attempts.remove(id);
                case RelayAction.SuspectTarget suspicion -> {}
            }
        }
    }

    /** Sends a request once its connection is there, unless the target is evacuated meanwhile. */
    private void begin(RelayAction.Send send, StoreRevision toldRevision) {
        if (!send.attempt().equals(attempts.get(send.id()))) {
            return;
        }
        if (words.domains().contains(send.target().failureDomain())
                && world.fault() != TargetsFault.EVACUATIONS_NOT_OBEYED) {
            step(new RelayEvent.AttemptFailed(send.attempt(), AttemptOutcome.WITHHELD));
            return;
        }
        TargetsVm vm = world.vm(send.target().id().vm());
        world.checks().onSend(this, vm, toldRevision);
        if (!vm.up) {
            later(2, () -> step(new RelayEvent.AttemptFailed(send.attempt(), AttemptOutcome.NOT_SENT)));
            return;
        }
        later(20, () -> step(new RelayEvent.AnswerStarted(send.attempt())));
        later(200 + random.nextLong(200), () -> {
            attempts.remove(send.id(), send.attempt());
            step(new RelayEvent.RequestFinished(send.attempt()));
        });
    }
}
