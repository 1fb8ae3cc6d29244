package org.apricotdeal.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.routing.PrefixHash;

/**
 * The callers: each stream of requests is a Poisson process whose requests belong to callers in proportion to their parts
 * of the load. Draws come from a source of their own, so that all variants of a seed meet the same requests.
 */
final class SimCallers {
    private static final double LENGTH_SPREAD = 0.4;
    private static final double MIN_LENGTH_PART = 0.2;

    private final ExperimentPlan plan;
    private final Scheduler scheduler;
    private final SimCluster cluster;
    private final Map<UpstreamId, Integer> slots;
    private final long seed;
    private final List<CallerRequest> requests = new ArrayList<>();
    private boolean stopped;

    SimCallers(
            ExperimentPlan plan, Scheduler scheduler, SimCluster cluster, Map<UpstreamId, Integer> slots, long seed) {
        this.plan = plan;
        this.scheduler = scheduler;
        this.cluster = cluster;
        this.slots = slots;
        this.seed = seed;
    }

    /** One stream of requests and its source of randomness. */
    private static final class Stream {
        private final LoadSpec load;
        private final ClassEntry classEntry;
        private final double perSecond;
        private final UniformRandomProvider random;
        private final List<CallerSpec> callers;
        private final double callerShares;
        private final boolean flooding;
        private final long untilMicros;

        private Stream(
                LoadSpec load,
                ClassEntry classEntry,
                double perSecond,
                UniformRandomProvider random,
                List<CallerSpec> callers,
                boolean flooding,
                long untilMicros) {
            this.load = load;
            this.classEntry = classEntry;
            this.perSecond = perSecond;
            this.random = random;
            this.callers = callers;
            this.callerShares =
                    callers.stream().mapToDouble(CallerSpec::loadShare).sum();
            this.flooding = flooding;
            this.untilMicros = untilMicros;
        }
    }

    void start() {
        int index = 0;
        for (LoadSpec load : plan.loads()) {
            addStream(load, load.capacityShare(), plan.callers(), index++, 0, Long.MAX_VALUE, false);
        }
        for (FloodSpec flood : plan.floods()) {
            LoadSpec load = loadOf(flood);
            long fromMicros = flood.fromSeconds() * 1_000_000;
            long untilMicros = fromMicros + flood.forSeconds() * 1_000_000;
            if (flood.caller().isEmpty()) {
                addStream(load, flood.capacityShare(), plan.callers(), index++, fromMicros, untilMicros, true);
                continue;
            }
            List<CallerSpec> one = plan.callers().stream()
                    .filter(caller -> caller.id().value().equals(flood.caller()))
                    .toList();
            double all =
                    plan.callers().stream().mapToDouble(CallerSpec::loadShare).sum();
            double own = load.capacityShare() * one.getFirst().loadShare() / all;
            addStream(load, own * (flood.capacityShare() - 1), one, index++, fromMicros, untilMicros, true);
        }
    }

    private LoadSpec loadOf(FloodSpec flood) {
        for (LoadSpec load : plan.loads()) {
            if (load.name().equals(flood.load())) {
                return load;
            }
        }
        throw new IllegalArgumentException("flood " + flood.load() + " names no stream of requests");
    }

    private void addStream(
            LoadSpec load,
            double capacityShare,
            List<CallerSpec> callers,
            int index,
            long fromMicros,
            long untilMicros,
            boolean flooding) {
        double holdSeconds = holdMillis(load) / 1_000;
        double perSecond = capacityShare * slots.get(load.upstream()) / holdSeconds;
        if (perSecond <= 0) {
            return;
        }
        ClassEntry entry = plan.catalogue()
                .find("class " + load.classId(), ClassEntry.class)
                .orElseThrow();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 7_919 + index);
        Stream stream = new Stream(load, entry, perSecond, random, callers, flooding, untilMicros);
        scheduler.afterMicros(fromMicros, () -> scheduleNext(stream));
    }

    private double holdMillis(LoadSpec load) {
        Entry model = plan.catalogue().entries().get("model " + load.upstream());
        if (model instanceof ModelEntry entry) {
            return SimReplica.holdMillis(load.promptTokens(), load.outputTokens(), entry.maxStreamsPerReplica());
        }
        return SimServiceVm.MEAN_CALL_MILLIS;
    }

    private void scheduleNext(Stream stream) {
        double gapSeconds = -Math.log(1 - stream.random.nextDouble()) / stream.perSecond;
        scheduler.afterMicros((long) (gapSeconds * 1_000_000), () -> {
            if (!stopped && scheduler.nowMicros() < stream.untilMicros) {
                ask(stream);
                scheduleNext(stream);
            }
        });
    }

    private void ask(Stream stream) {
        long nowMicros = scheduler.nowMicros();
        CallerSpec caller = drawCaller(stream);
        double part = Math.max(MIN_LENGTH_PART, 1 + LENGTH_SPREAD * gaussian(stream.random));
        boolean isModel = stream.load.promptTokens() > 0;
        int length = isModel ? (int) Math.max(1, stream.load.outputTokens() * part) : 1;
        int estimate = isModel ? (int) Math.max(1, stream.load.outputTokens() * stream.load.estimateRatio()) : 1;
        CallerRequest request = new CallerRequest(
                requests.size(),
                caller,
                stream.load,
                new CallerRequest.Sample(nowMicros, length, estimate, drawPrefix(stream)),
                stream.classEntry,
                stream.flooding);
        requests.add(request);
        send(request);
    }

    private static double gaussian(UniformRandomProvider random) {
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private static CallerSpec drawCaller(Stream stream) {
        double drawn = stream.random.nextDouble() * stream.callerShares;
        for (CallerSpec caller : stream.callers) {
            drawn -= caller.loadShare();
            if (drawn < 0) {
                return caller;
            }
        }
        return stream.callers.getLast();
    }

    /** Draws a prefix: the square of a uniform number makes low numbers popular. */
    private static long drawPrefix(Stream stream) {
        if (stream.load.prefixes() == 0) {
            return 0;
        }
        double drawn = stream.random.nextDouble();
        int number = (int) (drawn * drawn * stream.load.prefixes());
        return PrefixHash.mix(PrefixHash.of(stream.load.name()) + number) | 1;
    }

    private void send(CallerRequest request) {
        request.asked++;
        RequestId id = new RequestId("r" + request.number + "-" + request.asked);
        cluster.balance(id, request);
    }

    /** Takes a refusal; a caller that asks again at once does so while its deadline has not passed. */
    void refused(CallerRequest request) {
        if (request.asked <= plan.retriesAtOnce() && scheduler.nowMicros() < request.deadlineMicros) {
            send(request);
            return;
        }
        request.refused = true;
    }

    void failed(CallerRequest request) {
        request.failed = true;
    }

    void stop() {
        stopped = true;
    }

    List<CallerRequest> requests() {
        return requests;
    }
}
