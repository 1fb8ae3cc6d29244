package org.apricotdeal.relay.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.model.RequestTrait;

/**
 * Decides whether a request may be sent, given the crashes that this node and the others have seen.
 *
 * <p>Load pattern: requests that crash VMs come at any node, each only at a few of them, and cost up to two
 * VMs each. The nodes therefore exchange their crash reports ({@link CrashNews}), and each draws the same conclusions from
 * them ({@link BlameInference}). Without contact to the others a node decides by what it has seen itself.
 *
 * <p>Once a request has been lost, the copy that its node sends again shows whether it is to blame. Until that is known
 * other copies of it wait, so that each node does not lose a VM to learn the same.
 *
 * <p>Requests with blamed traits are held for a time that doubles with each trial. Afterwards a single request is sent as a
 * trial: the nodes become entitled to it one after the other, in an order that differs between traits, and hear of each
 * other's trials. An answer clears the traits, so one that is blamed wrongly or has been mended is served again, and one
 * that is still deadly costs one VM.
 */
public final class PoisonDetector {
    /** Time for which a newly blamed trait is held; several times what learning about it takes. */
    private static final long FIRST_HOLD_MILLIS = 20_000;

    /** Trials after which the hold no longer doubles. */
    private static final int MAX_DOUBLINGS = 3;

    /** Time between the entitlements of two nodes to a trial; longer than news takes to reach all nodes. */
    private static final long TRIAL_TURN_MILLIS = 1_000;

    /** Time in which a trial is answered or crashes its VM, unless its caller leaves. */
    private static final long TRIAL_MILLIS = 5_000;

    /** Time in which the copy of a lost request that is sent again is answered or lost. */
    private static final long REPEAT_MILLIS = 1_000;

    /** Time over which the nodes' entitlements to send a copy of a lost request are spread at most, in large fleets. */
    private static final long MAX_REPEAT_TURNS_MILLIS = 4_000;

    /** Time in which a copy that is sent to a free VM is answered or lost, and the other nodes hear of it. */
    private static final long MIN_REPEAT_TURN_MILLIS = 400;

    /** Age from which a crash that supports no blame is forgotten. */
    private static final long MAX_CRASH_AGE_MILLIS = 120_000;

    /** The same for crashes that support blame; longer than the longest hold. */
    private static final long MAX_BLAME_AGE_MILLIS = 600_000;

    private static final int MAX_CRASHES = 128;
    private static final int MAX_TRIALS = 256;

    /** Maximum number of traits of the lost requests of all crashes, which bounds the size of a heartbeat. */
    private static final int MAX_LOST_TRAITS = 2_048;

    private static final int MAX_TRAITS_TO_REVIEW_AT_ONCE = 256;

    /** Interval of conclusions that change with time only. */
    private static final long REVIEW_PERIOD_MILLIS = 250;

    private static final PoisonVerdict FREE = new PoisonVerdict.Free();

    private final String self;
    private final SoundTraits soundTraits = new SoundTraits();
    private final Map<CrashId, CrashReport> crashes = new HashMap<>();
    private final Map<ServedTrait, TraitTrial> trials = new HashMap<>();
    private List<String> nodes;
    private List<BlamedTraits> blamed = List.of();

    /** Times of the last losses of requests that have not been answered. */
    private final Map<ServedTrait, Long> unproven = new HashMap<>();

    private final Set<RequestTrait> unprovenDigests = new HashSet<>();
    private final CrashNewsDigest digest = new CrashNewsDigest();
    private CrashNews news = CrashNews.NONE;
    private long reviewedMillis;
    private boolean reviewDue;
    private int lostTraitCount;

    /**
     * Creates a detector that knows of no crash.
     *
     * @param self name of this node
     */
    public PoisonDetector(String self) {
        this.self = self;
        this.nodes = List.of(self);
    }

    /**
     * Sets the nodes that take turns with trials.
     *
     * @param names names of the nodes, including this one
     */
    public void setNodes(Collection<String> names) {
        nodes = List.copyOf(names);
    }

    /**
     * Returns what this node knows, for the other nodes.
     *
     * @return crashes and trials
     */
    public CrashNews news() {
        return news;
    }

    /**
     * Returns the blamed traits.
     *
     * @return blamed traits of all upstreams
     */
    public List<BlamedTraits> blamed() {
        return blamed;
    }

    /**
     * Returns the blamed traits with their holds.
     *
     * @return blamed traits of all upstreams, as this node holds them
     */
    public List<HeldTraits> held() {
        return blamed.stream()
                .map(blame -> new HeldTraits(
                        blame, trialCount(trialsOf(blame.served(), blame)), heldUntilMillis(blame.served(), blame)))
                .toList();
    }

    private List<TraitTrial> trialsOf(ServedRelease served, BlamedTraits blame) {
        return blame.traits().stream()
                .map(trait -> trials.get(new ServedTrait(served, trait)))
                .filter(Objects::nonNull)
                .toList();
    }

    private static int trialCount(List<TraitTrial> trials) {
        return trials.stream().mapToInt(TraitTrial::count).max().orElse(0);
    }

    /**
     * Returns whether every request is free.
     *
     * @return true if nothing is blamed and no lost request is unproven
     */
    public boolean isIdle() {
        return blamed.isEmpty() && unproven.isEmpty();
    }

    /**
     * Records that a request was lost by a crash before it was answered.
     *
     * @param first identifies the first loss in the epoch
     * @param served what the VM served
     * @param request traits of the request
     * @param nowMillis monotonic time
     */
    public void recordCrash(CrashId first, ServedRelease served, List<RequestTrait> request, long nowMillis) {
        if (request.isEmpty()) {
            return;
        }
        boolean lostAgain = request.stream().anyMatch(unprovenDigests::contains);
        CrashReport report = addCrash(CrashReport.of(lastLoss(first), served, nowMillis, request));
        if (lostAgain && (lostTraitCount <= MAX_TRAITS_TO_REVIEW_AT_ONCE || nowMillis > reviewedMillis)) {
            review(nowMillis);
            return;
        }
        addUnproven(report);
        reviewSoon(nowMillis);
    }

    /** Returns the id of the last loss in an epoch, which the VM is not known to have survived. */
    private CrashId lastLoss(CrashId first) {
        CrashId last = first;
        for (CrashReport report : crashes.values()) {
            CrashId id = report.id();
            if (id.vm().equals(first.vm()) && id.epoch() == first.epoch() && id.survivals() >= last.survivals()) {
                last = report.survived() ? id.next() : id;
            }
        }
        return last;
    }

    /**
     * Records that a VM answers, which shows that it has not crashed in this epoch before the request was sent.
     *
     * @param first identifies the first loss in the epoch
     * @param sentMillis monotonic time at which the request was sent
     * @param nowMillis monotonic time
     */
    public void recordSurvival(CrashId first, long sentMillis, long nowMillis) {
        CrashId id = lastLoss(first);
        CrashReport report = crashes.get(id);
        if (report != null && report.atMillis() < sentMillis) {
            crashes.put(id, report.withSurvival());
            review(nowMillis);
        }
    }

    /**
     * Records that a request is being answered, which clears its traits of the crashes so far.
     *
     * @param served what the VM serves
     * @param request traits of the request
     * @param nowMillis monotonic time
     */
    public void recordAnswer(ServedRelease served, List<RequestTrait> request, long nowMillis) {
        boolean changed = false;
        for (RequestTrait trait : request) {
            ServedTrait answered = new ServedTrait(served, trait);
            soundTraits.record(answered, nowMillis);
            changed |= passTrial(answered);
        }
        for (Map.Entry<CrashId, CrashReport> entry : crashes.entrySet()) {
            for (RequestTrait trait : request) {
                CrashReport crash = entry.getValue();
                if (crash.served().equals(served) && crash.isSuspect(trait)) {
                    entry.setValue(crash.withCleared(trait));
                    changed = true;
                }
            }
        }
        if (changed) {
            reviewSoon(nowMillis);
        }
    }

    /**
     * Forgets when traits were answered. After a suspension of the process, whose duration the monotonic clock does not
     * count, these times cannot be compared with those of crashes that other nodes report.
     */
    public void forgetAnswers() {
        soundTraits.clear();
    }

    /**
     * Merges what another node knows.
     *
     * @param received crashes and trials, with times converted to this node's monotonic clock
     * @param nowMillis monotonic time
     */
    public void merge(CrashNews received, long nowMillis) {
        received.crashes().forEach(this::addCrash);
        for (TraitTrial trial : received.trials()) {
            if (trials.containsKey(trial.tried()) || trials.size() < MAX_TRIALS) {
                trials.merge(trial.tried(), trial, TraitTrial::merge);
            }
        }
        review(nowMillis);
    }

    /**
     * Draws conclusions again if time alone may have changed them.
     *
     * @param nowMillis monotonic time
     */
    public void tick(long nowMillis) {
        if (!crashes.isEmpty() && (reviewDue || nowMillis - reviewedMillis >= REVIEW_PERIOD_MILLIS)) {
            review(nowMillis);
        }
    }

    /** Draws conclusions at once, or with the next tick where that takes long and more may follow. */
    private void reviewSoon(long nowMillis) {
        if (lostTraitCount > MAX_TRAITS_TO_REVIEW_AT_ONCE) {
            reviewDue = true;
        } else {
            review(nowMillis);
        }
    }

    /**
     * Returns whether a request has blamed traits, for any model or release, or is a copy of a lost one.
     *
     * @param upstream upstream of the request
     * @param request traits of the request
     * @return true if some VMs may have to be spared
     */
    public boolean isSuspect(UpstreamId upstream, List<RequestTrait> request) {
        return blamed.stream().anyMatch(blame -> blame.concerns(upstream, request))
                || request.stream().anyMatch(unprovenDigests::contains);
    }

    /**
     * Decides whether a request may be sent.
     *
     * @param served what the VM serves
     * @param request traits of the request
     * @param nowMillis monotonic time
     * @return the decision
     */
    public PoisonVerdict verdict(ServedRelease served, List<RequestTrait> request, long nowMillis) {
        PoisonVerdict verdict = unprovenVerdict(served, request);
        for (BlamedTraits blame : blamed) {
            boolean ownBlame = blame.served().equals(served);
            if (!blame.concerns(served.upstream(), request) || (!ownBlame && isServed(served, blame.traits()))) {
                continue;
            }
            long heldUntilMillis = heldUntilMillis(served, blame);
            if (nowMillis < heldUntilMillis) {
                return new PoisonVerdict.Held(heldUntilMillis, blame.certain() && ownBlame);
            }
            verdict = new PoisonVerdict.OnTrial();
        }
        return verdict;
    }

    private PoisonVerdict unprovenVerdict(ServedRelease served, List<RequestTrait> request) {
        if (unproven.isEmpty()) {
            return FREE;
        }
        for (RequestTrait trait : request) {
            Long lostMillis = trait.isWholeRequest() ? unproven.get(new ServedTrait(served, trait)) : null;
            if (lostMillis != null) {
                long turnMillis = repeatTurnMillis(Set.of(trait));
                return new PoisonVerdict.Unproven(lostMillis + REPEAT_MILLIS + turnMillis, turnMillis);
            }
        }
        return FREE;
    }

    /**
     * Returns whether a request was the only one that a crash is known to have lost, and has not been answered.
     *
     * @param digest digest of the request
     * @param untilMillis monotonic time up to which crashes count
     * @return true if no other request is as likely to have caused some crash
     */
    public boolean isSoleSuspect(RequestDigest digest, long untilMillis) {
        return unprovenDigests.contains(digest)
                && losses().anyMatch(crash -> crash.isSuspect(digest)
                        && crash.atMillis() <= untilMillis
                        && crash.requests().size() == 1);
    }

    /** Returns the crashes that their VMs are not known to have survived. */
    private Stream<CrashReport> losses() {
        return crashes.values().stream().filter(crash -> !crash.survived());
    }

    /**
     * Returns whether a VM has crashed in an epoch, as far as is known.
     *
     * @param vm the VM
     * @param epoch epoch of its replica
     * @return true if it has lost requests and not answered since
     */
    public boolean isLost(VmId vm, long epoch) {
        return losses().map(CrashReport::id)
                .anyMatch(id -> id.epoch() == epoch && id.vm().equals(vm));
    }

    /**
     * Returns whether a VM has crashed lately, as far as is known.
     *
     * @param served what the VM served
     * @param sinceMillis monotonic time from which crashes count
     * @return true if one has lost requests and not answered since
     */
    public boolean hasLost(ServedRelease served, long sinceMillis) {
        return losses().anyMatch(crash ->
                crash.atMillis() >= sinceMillis && crash.served().equals(served));
    }

    /**
     * Records that a request is sent as a trial of its blamed traits.
     *
     * @param served what the VM serves
     * @param request traits of the request
     * @param nowMillis monotonic time
     */
    public void startTrial(ServedRelease served, List<RequestTrait> request, long nowMillis) {
        for (BlamedTraits blame : blamed) {
            if (!blame.concerns(served.upstream(), request)) {
                continue;
            }
            for (RequestTrait trait : blame.traits()) {
                ServedTrait tried = new ServedTrait(served, trait);
                int count = trials.containsKey(tried) ? trials.get(tried).count() + 1 : 1;
                trials.put(tried, new TraitTrial(tried, nowMillis, count, false));
            }
        }
        review(nowMillis);
    }

    /** Returns whether traits that are blamed for another model or release have been answered by this one. */
    private boolean isServed(ServedRelease served, Set<RequestTrait> traits) {
        for (RequestTrait trait : traits) {
            ServedTrait servedTrait = new ServedTrait(served, trait);
            TraitTrial trial = trials.get(servedTrait);
            boolean passed = trial != null && trial.passed();
            if (!passed && soundTraits.lastAnsweredMillis(servedTrait).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the time for which this node lets others go first with a copy of a lost request. */
    private long repeatTurnMillis(Set<RequestTrait> traits) {
        long periodMillis =
                Math.clamp(MAX_REPEAT_TURNS_MILLIS / nodes.size(), MIN_REPEAT_TURN_MILLIS, TRIAL_TURN_MILLIS);
        return Math.min(MAX_REPEAT_TURNS_MILLIS, turn(traits) * periodMillis);
    }

    /** Returns the time from which this node may send a trial. */
    private long heldUntilMillis(ServedRelease served, BlamedTraits blame) {
        List<TraitTrial> tried = trialsOf(served, blame);
        long trialEndMillis = tried.stream()
                .mapToLong(trial -> trial.startedMillis() + TRIAL_MILLIS)
                .max()
                .orElse(Long.MIN_VALUE);
        int doublings = Math.min(trialCount(tried), MAX_DOUBLINGS);
        long holdMillis = blame.served().equals(served) ? FIRST_HOLD_MILLIS << doublings : 0;
        long firstTurnMillis = Math.max(blame.lastCrashMillis() + holdMillis, trialEndMillis);
        return firstTurnMillis + turn(blame.traits()) * TRIAL_TURN_MILLIS;
    }

    /** Returns this node's position in the order of the nodes for trials of the given traits. */
    private int turn(Set<RequestTrait> traits) {
        String key = CrashNewsDigest.text(traits);
        long own = rank(self, key);
        int preceding = 0;
        for (String node : nodes) {
            preceding += !node.equals(self) && Long.compareUnsigned(rank(node, key), own) < 0 ? 1 : 0;
        }
        return preceding;
    }

    private static long rank(String node, String key) {
        return Hashing.komihash4_3().hashCharsToLong(node + "/" + key);
    }

    private CrashReport addCrash(CrashReport report) {
        CrashReport known = crashes.get(report.id());
        CrashReport merged = withOwnAnswers(known == null ? report : known.merge(report));
        crashes.put(report.id(), merged);
        return merged;
    }

    /** Returns a crash report with the answers that this node has seen. */
    private CrashReport withOwnAnswers(CrashReport report) {
        CrashReport result = report;
        for (RequestTrait trait : report.traits()) {
            OptionalLong answeredMillis = soundTraits.lastAnsweredMillis(new ServedTrait(report.served(), trait));
            if (answeredMillis.isPresent()) {
                boolean answeredSince = answeredMillis.getAsLong() > report.atMillis();
                result = answeredSince ? result.withCleared(trait) : result.withSound(trait);
            }
        }
        return result;
    }

    private boolean passTrial(ServedTrait answered) {
        TraitTrial trial = trials.get(answered);
        if (trial == null || trial.passed()) {
            return false;
        }
        trials.put(answered, trial.withPassed());
        return true;
    }

    private void review(long nowMillis) {
        reviewedMillis = nowMillis;
        reviewDue = false;
        crashes.values().removeIf(crash -> nowMillis - crash.atMillis() >= maxAgeMillis(crash));
        trials.values().removeIf(trial -> nowMillis - trial.startedMillis() >= MAX_BLAME_AGE_MILLIS);
        dropExcessCrashes();
        blamed = inferBlame(nowMillis);
        unproven.clear();
        unprovenDigests.clear();
        losses().forEach(this::addUnproven);
        news = new CrashNews(
                digest.of(crashes.values(), trials.values()),
                List.copyOf(crashes.values()),
                List.copyOf(trials.values()));
    }

    private long maxAgeMillis(CrashReport crash) {
        return supportsBlame(crash) ? MAX_BLAME_AGE_MILLIS : MAX_CRASH_AGE_MILLIS;
    }

    private boolean supportsBlame(CrashReport crash) {
        return !crash.survived()
                && blamed.stream()
                        .anyMatch(
                                blame -> blame.served().equals(crash.served()) && crash.isExplainedBy(blame.traits()));
    }

    private void dropExcessCrashes() {
        lostTraitCount =
                crashes.values().stream().mapToInt(CrashReport::traitCount).sum();
        if (crashes.size() <= MAX_CRASHES && lostTraitCount <= MAX_LOST_TRAITS) {
            return;
        }
        List<CrashReport> ordered = new ArrayList<>(crashes.values());
        ordered.sort(Comparator.comparing((CrashReport crash) -> supportsBlame(crash))
                .thenComparing(CrashReport::atMillis));
        for (CrashReport crash : ordered) {
            if (crashes.size() <= MAX_CRASHES && lostTraitCount <= MAX_LOST_TRAITS) {
                return;
            }
            crashes.remove(crash.id());
            lostTraitCount -= crash.traitCount();
        }
    }

    private List<BlamedTraits> inferBlame(long nowMillis) {
        Map<ServedRelease, List<CrashReport>> crashesByServed =
                losses().collect(Collectors.groupingBy(CrashReport::served));
        Map<ServedRelease, List<BlamedTraits>> blameByServed = new HashMap<>();
        crashesByServed.forEach(
                (served, reports) -> blameByServed.put(served, BlameInference.infer(reports, Set.of(), nowMillis)));
        List<BlamedTraits> independent =
                blameByServed.values().stream().flatMap(List::stream).toList();
        List<BlamedTraits> all = new ArrayList<>();
        blameByServed.forEach((served, blame) -> {
            Set<RequestTrait> elsewhere = blamedElsewhere(served, independent);
            all.addAll(
                    elsewhere.isEmpty()
                            ? blame
                            : BlameInference.infer(crashesByServed.get(served), elsewhere, nowMillis));
        });
        return all;
    }

    /** Notes the digests of lost requests that have not been answered before or since. */
    private void addUnproven(CrashReport crash) {
        if (crash.survived()) {
            return;
        }
        for (List<RequestTrait> request : crash.requests()) {
            for (RequestTrait trait : request) {
                if (trait.isWholeRequest()
                        && !crash.soundTraits().contains(trait)
                        && !crash.clearedTraits().contains(trait)) {
                    unproven.merge(new ServedTrait(crash.served(), trait), crash.atMillis(), Math::max);
                    unprovenDigests.add(trait);
                }
            }
        }
    }

    private static Set<RequestTrait> blamedElsewhere(ServedRelease served, List<BlamedTraits> blamed) {
        Set<RequestTrait> traits = new HashSet<>();
        for (BlamedTraits blame : blamed) {
            if (blame.served().upstream().equals(served.upstream())
                    && !blame.served().equals(served)) {
                traits.addAll(blame.traits());
            }
        }
        return traits;
    }
}
