package org.apricotdeal.lab.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.admission.Arrival;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.DomainLoad;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.apricotdeal.policy.routing.TargetId;

/** A node that runs the real dispatcher and carries out its actions on the simulated network. */
final class SimNode {
    private static final long CONNECT_FAILURE_MILLIS = 20;
    private static final long BREAK_SEEN_MILLIS = 500;

    private final NodeId id;
    private final FailureDomainId failureDomain;
    private final Scheduler scheduler;
    private final Network network;
    private final Fleet fleet;
    private final SimCounters counters;
    private final Map<RequestId, Held> held = new HashMap<>();
    private final Map<String, DomainReport> reports = new HashMap<>();
    private Dispatcher dispatcher;
    private boolean stopped;

    /** What a node needs of its surroundings. */
    interface Fleet {
        /** Finds a target of the node's failure domain. */
        SimTarget target(TargetId id);

        /** Finds a node of another failure domain to forward to; null where none can be reached. */
        SimNode peerIn(FailureDomainId failureDomain);

        /** Finds a node by its id. */
        SimNode node(NodeId id);

        /** Takes a request's refusal by the system. */
        void refused(CallerRequest request);

        /** Takes a request's failure. */
        void failed(CallerRequest request);
    }

    /** The number of tokens of a stream, and whether they are all. */
    record TokenCount(RequestId id, int tokens, boolean whole) {}

    /** A node's report of open streams. */
    private record DomainReport(List<DomainLoad> loads) {}

    /** A request at this node. */
    private static final class Held {
        private final CallerRequest request;
        private final SimNode origin;
        private SimTarget target;
        private long dispatchedMicros;
        private long lastTokenMicros;
        private int tokens;

        private Held(CallerRequest request, SimNode origin) {
            this.request = request;
            this.origin = origin;
        }
    }

    SimNode(
            NodeId id,
            FailureDomainId failureDomain,
            Scheduler scheduler,
            Network network,
            Fleet fleet,
            SimCounters counters) {
        this.id = id;
        this.failureDomain = failureDomain;
        this.scheduler = scheduler;
        this.network = network;
        this.fleet = fleet;
        this.counters = counters;
    }

    /** Starts the node, or starts it anew with nothing remembered. */
    void start(Dispatcher fresh, Catalogue catalogue, List<NodeId> nodes) {
        dispatcher = fresh;
        stopped = false;
        network.stopped(name(), false);
        step(new DispatcherEvent.NodesChanged(nodes));
        step(new DispatcherEvent.CatalogueChanged(catalogue));
    }

    /** Stops the node; callers of its requests get no answer. */
    void stop() {
        stopped = true;
        network.stopped(name(), true);
        for (Held lost : List.copyOf(held.values())) {
            releaseHold(lost);
            if (lost.target != null) {
                RequestId request = idOf(lost);
                SimTarget target = lost.target;
                network.send(name(), target.name(), () -> target.cancel(request));
            }
            if (lost.origin == this) {
                fleet.failed(lost.request);
            } else {
                RequestId request = idOf(lost);
                scheduler.after(
                        BREAK_SEEN_MILLIS,
                        () -> lost.origin.step(new DispatcherEvent.Finished(request, FinishOutcome.BROKEN)));
            }
        }
        held.clear();
    }

    private RequestId idOf(Held wanted) {
        for (Map.Entry<RequestId, Held> entry : held.entrySet()) {
            if (entry.getValue() == wanted) {
                return entry.getKey();
            }
        }
        throw new IllegalStateException("request is not held");
    }

    String name() {
        return id.value();
    }

    NodeId id() {
        return id;
    }

    FailureDomainId failureDomain() {
        return failureDomain;
    }

    boolean isStopped() {
        return stopped;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Takes a request of a caller. */
    void ask(RequestId request, CallerRequest callerRequest) {
        arrive(request, callerRequest, this, 0);
    }

    private void arrive(RequestId request, CallerRequest callerRequest, SimNode origin, int hops) {
        held.put(request, new Held(callerRequest, origin));
        long leftMillis = Math.max(1, (callerRequest.deadlineMicros - scheduler.nowMicros()) / 1_000);
        LoadSpec load = callerRequest.load;
        step(new DispatcherEvent.Arrived(Arrival.builder(request, callerRequest.caller.id())
                .classAndUpstream(load.classId(), load.upstream())
                .prompt(callerRequest.prefixHash, load.promptTokens())
                .estimatedTokens(callerRequest.estimatedTokens)
                .deadlineMillis(leftMillis)
                .hops(hops)
                .resumable(load.promptTokens() > 0)
                .build()));
    }

    void step(DispatcherEvent event) {
        if (stopped) {
            return;
        }
        for (DispatcherAction action : dispatcher.step(scheduler.monotonicMillis(), event)) {
            carryOut(action);
        }
    }

    private void carryOut(DispatcherAction action) {
        switch (action) {
            case DispatcherAction.Dispatch(RequestId request, TargetId target, int attempt) ->
                dispatch(request, target);
            case DispatcherAction.Preempt(RequestId request, TargetId target) -> {
                counters.preemptions++;
                leaveTarget(request);
            }
            case DispatcherAction.Refuse(RequestId request, var reason, long retryAfterMillis) -> {
                Held entry = held.get(request);
                counters.refused(entry.request.load.classId(), reason);
                end(request, FinishOutcome.REFUSED_ELSEWHERE);
            }
            case DispatcherAction.GiveUp(RequestId request, var reason, boolean mayHaveRun) ->
                end(request, FinishOutcome.FAILED);
            case DispatcherAction.Forward(RequestId request, FailureDomainId to) -> forward(request, to);
            case DispatcherAction.SendShare(NodeId to, var message) -> {
                counters.shareMessages++;
                SimNode peer = fleet.node(to);
                network.send(name(), to.value(), () -> peer.step(new DispatcherEvent.ShareReceived(id, message)));
            }
            case DispatcherAction.RecordEvent event -> {}
        }
    }

    private void dispatch(RequestId request, TargetId targetId) {
        Held entry = held.get(request);
        SimTarget target = fleet.target(targetId);
        entry.target = target;
        entry.dispatchedMicros = scheduler.nowMicros();
        entry.lastTokenMicros = 0;
        if (target.isLost()) {
            scheduler.after(CONNECT_FAILURE_MILLIS, () -> attemptEnded(request, target, FinishOutcome.NOT_STARTED));
            return;
        }
        int tokens = entry.tokens;
        network.send(name(), target.name(), () -> target.start(this, request, entry.request, tokens));
    }

    private void leaveTarget(RequestId request) {
        Held entry = held.get(request);
        SimTarget target = entry.target;
        releaseHold(entry);
        network.send(name(), target.name(), () -> target.cancel(request));
    }

    private void releaseHold(Held entry) {
        if (entry.target != null) {
            counters.held(entry.request, entry.dispatchedMicros, scheduler.nowMicros());
            entry.target = null;
        }
    }

    /** Takes the end of an attempt at a target, where the request still is there. */
    private void attemptEnded(RequestId request, SimTarget target, FinishOutcome outcome) {
        Held entry = held.get(request);
        if (entry == null || entry.target != target) {
            return;
        }
        releaseHold(entry);
        step(new DispatcherEvent.Finished(request, outcome));
    }

    /** Takes the loss of a target: all its streams break off. */
    void targetLost(SimTarget target) {
        for (Map.Entry<RequestId, Held> entry : List.copyOf(held.entrySet())) {
            attemptEnded(entry.getKey(), target, FinishOutcome.BROKEN);
        }
    }

    /** Takes tokens of several streams of one target. */
    void tokens(List<TokenCount> counts) {
        long nowMicros = scheduler.nowMicros();
        for (TokenCount count : counts) {
            Held entry = held.get(count.id());
            if (entry == null || entry.target == null || count.tokens() <= entry.tokens) {
                continue;
            }
            if (entry.lastTokenMicros > 0 && nowMicros >= counters.fromMicros) {
                counters.intervalMicros.recordValue(nowMicros - entry.lastTokenMicros);
            }
            entry.lastTokenMicros = nowMicros;
            entry.tokens = count.tokens();
            if (entry.request.firstTokenMicros < 0) {
                entry.request.firstTokenMicros = nowMicros;
            }
            if (entry.request.load.promptTokens() > 0) {
                step(new DispatcherEvent.Progress(count.id(), count.tokens()));
            }
            if (entry.origin != this) {
                network.send(name(), entry.origin.name(), () -> entry.origin.forwardProgress(count));
            }
            if (count.whole()) {
                entry.request.finishedMicros = nowMicros;
                releaseHold(entry);
                step(new DispatcherEvent.Finished(count.id(), FinishOutcome.COMPLETED));
                end(count.id(), FinishOutcome.COMPLETED);
            }
        }
    }

    private void forward(RequestId request, FailureDomainId to) {
        Held entry = held.get(request);
        SimNode peer = fleet.peerIn(to);
        counters.forwards++;
        if (peer == null) {
            scheduler.after(CONNECT_FAILURE_MILLIS, () -> forwardEnded(request, FinishOutcome.NOT_STARTED));
            return;
        }
        network.send(name(), peer.name(), () -> peer.arrive(request, entry.request, this, 1));
    }

    private void forwardProgress(TokenCount count) {
        Held entry = held.get(count.id());
        if (entry != null && entry.target == null && count.tokens() > entry.tokens) {
            entry.tokens = count.tokens();
            step(new DispatcherEvent.Progress(count.id(), count.tokens()));
        }
    }

    private void forwardEnded(RequestId request, FinishOutcome outcome) {
        step(new DispatcherEvent.Finished(request, outcome));
        if (outcome == FinishOutcome.COMPLETED || outcome == FinishOutcome.FAILED) {
            end(request, outcome);
        }
    }

    private void end(RequestId request, FinishOutcome outcome) {
        Held entry = held.remove(request);
        if (entry == null) {
            return;
        }
        if (entry.origin != this) {
            network.send(name(), entry.origin.name(), () -> entry.origin.forwardEnded(request, outcome));
            return;
        }
        if (outcome == FinishOutcome.REFUSED_ELSEWHERE) {
            fleet.refused(entry.request);
        } else if (outcome == FinishOutcome.FAILED) {
            fleet.failed(entry.request);
        }
    }

    /** Tells the dispatcher of a prefix that a target has stored; late, and not always. */
    void cacheEvent(SimTarget target, long prefixHash) {
        long delayMillis = 500 + scheduler.random().nextLong(1_500);
        if (scheduler.random().nextDouble() < 0.2) {
            return;
        }
        TargetId targetId = new TargetId(target.name());
        scheduler.after(delayMillis, () -> step(new DispatcherEvent.CacheReported(targetId, prefixHash, true)));
    }

    /** Takes another domain's report of open streams. */
    void domainReported(String from, List<DomainLoad> loads) {
        reports.put(from, new DomainReport(loads));
        Map<String, DomainLoad> sums = new HashMap<>();
        for (DomainReport report : reports.values()) {
            for (DomainLoad load : report.loads()) {
                sums.merge(
                        load.failureDomain() + " " + load.upstream() + " " + load.classId(), load, DomainLoad::merge);
            }
        }
        step(new DispatcherEvent.DomainsReported(new ArrayList<>(sums.values())));
    }
}
