package org.apricotdeal.relay.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.relay.model.RequestTrait;

/**
 * Infers which traits of requests crash the VMs of one release: parts of prompts, or the whole content of a request.
 *
 * <p>A VM that crashes loses all its requests, each with several traits; a deadly trait is among those of the requests that
 * were not being answered yet. Any answer to a request with a trait clears the trait of the crashes before it. What remains
 * is explained by as few traits as possible: the trait with the most uncleared crashes (by cause, then by VM) is blamed, the
 * crashes that it explains are set aside, and the rest is considered again. So the traits of requests that were lost beside
 * a deadly one stay free.
 *
 * <p>Of traits with equally many crashes the narrowest is blamed. The copies of one request share its digest and all its
 * parts, so their crashes blame the digest. Crashes of different requests have a part in common at most, so together they
 * blame that.
 *
 * <p>Traits that were answered before the crashes need more crashes than unknown ones, and time for other nodes to clear
 * them. Crashes at nearly the same time count once, since the loss of a rack or of a node's connections has another cause.
 *
 * <p>Parts that occur in the same lost requests only are blamed together: a request is held back if it has all of them. Of
 * several explanations of the same crashes the one that holds back the fewest requests is used.
 */
final class BlameInference {
    /** A request that crashed a VM is repeated once, so one request can crash two. */
    private static final int MIN_CRASHES = 2;

    /** The same for a trait that has been answered before, which a chance loss of two VMs must not exclude. */
    private static final int MIN_CRASHES_OF_SOUND_TRAIT = 3;

    /** Crashes within this time of each other have a common cause. */
    private static final long COMMON_CAUSE_MILLIS = 100;

    /**
     * The same for the copies of one request, of which the next is sent after the loss of the last one: only VMs that are
     * lost together crash again so soon.
     */
    private static final long COMMON_CAUSE_OF_COPIES_MILLIS = 25;

    /** Time in which an answer at any node becomes known to all; several heartbeat periods. */
    private static final long CLEARING_MILLIS = 1_000;

    private final List<CrashReport> crashes;
    private final Set<RequestTrait> blamedElsewhere;
    private final long nowMillis;
    private final Map<CrashId, Integer> causes;
    private final Map<CrashId, Integer> causesOfCopies;

    /** A lost request, as the evidence against one of its traits. */
    private record Evidence(CrashReport crash, List<RequestTrait> request) {}

    /** A trait with the evidence against it; crashes with a common cause count as one in the number of causes. */
    private record Suspect(RequestTrait trait, Set<Evidence> evidence, boolean sound, int causeCount, int crashCount) {
        private static final Comparator<Suspect> BY_STRENGTH =
                Comparator.comparingInt(Suspect::causeCount).thenComparingInt(Suspect::crashCount);
    }

    private BlameInference(Collection<CrashReport> crashes, Set<RequestTrait> blamedElsewhere, long nowMillis) {
        this.crashes = new ArrayList<>(crashes);
        this.crashes.sort(Comparator.comparingLong(CrashReport::atMillis)
                .thenComparing(crash -> crash.id().vm())
                .thenComparingLong(crash -> crash.id().epoch()));
        this.blamedElsewhere = blamedElsewhere;
        this.nowMillis = nowMillis;
        this.causes = numberCauses(COMMON_CAUSE_MILLIS);
        this.causesOfCopies = numberCauses(COMMON_CAUSE_OF_COPIES_MILLIS);
    }

    /**
     * Infers the blamed traits.
     *
     * @param crashes crashes of VMs that serve the same release
     * @param blamedElsewhere traits that crash other models or releases of the upstream; a single crash confirms them
     * @param nowMillis monotonic time
     * @return the blamed traits, the best explanation first
     */
    static List<BlamedTraits> infer(
            Collection<CrashReport> crashes, Set<RequestTrait> blamedElsewhere, long nowMillis) {
        return new BlameInference(crashes, blamedElsewhere, nowMillis).blame();
    }

    private Map<CrashId, Integer> numberCauses(long commonCauseMillis) {
        Map<CrashId, Integer> numbers = new HashMap<>();
        long firstMillis = 0;
        int cause = 0;
        for (CrashReport crash : crashes) {
            if (cause == 0 || crash.atMillis() - firstMillis > commonCauseMillis) {
                cause++;
                firstMillis = crash.atMillis();
            }
            numbers.put(crash.id(), cause);
        }
        return numbers;
    }

    private List<BlamedTraits> blame() {
        List<BlamedTraits> blamed = new ArrayList<>();
        List<CrashReport> unexplained = new ArrayList<>(crashes);
        while (true) {
            List<Suspect> strongest = strongestSuspects(unexplained);
            if (strongest.isEmpty()) {
                return blamed;
            }
            List<BlamedTraits> groups = blame(strongest, soundTraits(unexplained));
            blamed.addAll(groups);
            unexplained.removeIf(crash -> groups.stream().anyMatch(group -> crash.isExplainedBy(group.traits())));
        }
    }

    /** Returns the unknown traits with the most crashes, or else the sound ones, if there are enough crashes. */
    private List<Suspect> strongestSuspects(List<CrashReport> unexplained) {
        List<Suspect> suspects = suspects(unexplained);
        List<Suspect> unknown = suspects.stream()
                .filter(suspect -> !suspect.sound() && suspect.causeCount() >= minCrashes(suspect.trait()))
                .toList();
        return narrowest(mostCrashes(
                unknown.isEmpty() ? suspects.stream().filter(this::isRefuted).toList() : unknown));
    }

    private int minCrashes(RequestTrait trait) {
        return blamedElsewhere.contains(trait) ? 1 : MIN_CRASHES;
    }

    /** Returns whether a trait that used to be sound has crashed several VMs since, with time to be answered again. */
    private boolean isRefuted(Suspect suspect) {
        return suspect.sound()
                && suspect.causeCount() >= MIN_CRASHES_OF_SOUND_TRAIT
                && nowMillis - lastCrashMillis(suspect.evidence()) >= CLEARING_MILLIS;
    }

    private static List<Suspect> mostCrashes(List<Suspect> suspects) {
        if (suspects.isEmpty()) {
            return suspects;
        }
        Suspect strongest = suspects.stream().max(Suspect.BY_STRENGTH).orElseThrow();
        return suspects.stream()
                .filter(suspect -> Suspect.BY_STRENGTH.compare(suspect, strongest) == 0)
                .toList();
    }

    /** Returns the digests of whole requests if there are any, else all. */
    private static List<Suspect> narrowest(List<Suspect> suspects) {
        List<Suspect> digests = suspects.stream()
                .filter(suspect -> suspect.trait().isWholeRequest())
                .toList();
        return digests.isEmpty() ? suspects : digests;
    }

    private List<Suspect> suspects(List<CrashReport> unexplained) {
        Map<RequestTrait, Set<Evidence>> evidenceByTrait = new HashMap<>();
        Set<RequestTrait> sound = soundTraits(unexplained);
        for (CrashReport crash : unexplained) {
            for (List<RequestTrait> request : crash.requests()) {
                for (RequestTrait trait : request) {
                    if (!crash.clearedTraits().contains(trait)) {
                        evidenceByTrait
                                .computeIfAbsent(trait, id -> new HashSet<>())
                                .add(new Evidence(crash, request));
                    }
                }
            }
        }
        List<Suspect> suspects = new ArrayList<>();
        evidenceByTrait.forEach((trait, evidence) -> suspects.add(new Suspect(
                trait, evidence, sound.contains(trait), countCauses(trait, evidence), countCrashes(evidence))));
        suspects.sort(Comparator.comparing(suspect -> suspect.trait().toString()));
        return suspects;
    }

    private static Set<RequestTrait> soundTraits(List<CrashReport> crashes) {
        Set<RequestTrait> sound = new HashSet<>();
        crashes.forEach(crash -> sound.addAll(crash.soundTraits()));
        return sound;
    }

    private int countCauses(RequestTrait trait, Set<Evidence> evidence) {
        Map<CrashId, Integer> numbers = trait.isWholeRequest() ? causesOfCopies : causes;
        Set<Integer> distinct = new HashSet<>();
        evidence.forEach(item -> distinct.add(numbers.get(item.crash().id())));
        return distinct.size();
    }

    private static int countCrashes(Set<Evidence> evidence) {
        return (int) evidence.stream().map(item -> item.crash().id()).distinct().count();
    }

    private static long lastCrashMillis(Set<Evidence> evidence) {
        long lastMillis = Long.MIN_VALUE;
        for (Evidence item : evidence) {
            lastMillis = Math.max(lastMillis, item.crash().atMillis());
        }
        return lastMillis;
    }

    /** Returns the blamed traits for suspects that explain the crashes equally well. */
    private static List<BlamedTraits> blame(List<Suspect> strongest, Set<RequestTrait> sound) {
        Map<Set<RequestTrait>, Long> lastCrashByGroup = new LinkedHashMap<>();
        Set<Set<Set<RequestTrait>>> explanations = new HashSet<>();
        for (Suspect suspect : strongest) {
            Set<Set<RequestTrait>> groups = groups(suspect, sound);
            explanations.add(groups);
            groups.forEach(group -> lastCrashByGroup.merge(group, lastCrashMillis(suspect.evidence()), Math::max));
        }
        ServedRelease served =
                strongest.getFirst().evidence().iterator().next().crash().served();
        dropGeneral(lastCrashByGroup.keySet());
        boolean certain = explanations.size() == 1 || lastCrashByGroup.size() == 1;
        List<BlamedTraits> blamed = new ArrayList<>();
        lastCrashByGroup.forEach(
                (group, lastMillis) -> blamed.add(new BlamedTraits(served, group, lastMillis, certain)));
        return blamed;
    }

    /** Drops groups that hold back more requests than another group which explains the same. */
    private static void dropGeneral(Set<Set<RequestTrait>> groups) {
        List<Set<RequestTrait>> all = List.copyOf(groups);
        groups.removeIf(
                group -> all.stream().anyMatch(other -> other.size() > group.size() && other.containsAll(group)));
    }

    /**
     * Returns the sets of traits to blame for a suspect: a digest alone, or the parts that all its prompts have in common.
     * With two different prompts, each of them may have a cause of its own that hides behind a shared part, so each is
     * blamed as a whole.
     */
    private static Set<Set<RequestTrait>> groups(Suspect suspect, Set<RequestTrait> sound) {
        if (suspect.trait().isWholeRequest()) {
            return Set.of(Set.of(suspect.trait()));
        }
        Set<Set<RequestTrait>> prompts = new HashSet<>();
        for (Evidence item : suspect.evidence()) {
            Set<RequestTrait> parts = new HashSet<>(item.request());
            parts.removeIf(RequestTrait::isWholeRequest);
            parts.removeAll(item.crash().clearedTraits());
            if (!suspect.sound()) {
                parts.removeAll(sound);
            }
            prompts.add(Set.copyOf(parts));
        }
        Set<RequestTrait> common = new HashSet<>(prompts.iterator().next());
        prompts.forEach(common::retainAll);
        return prompts.size() == 2 && !prompts.contains(common) ? prompts : Set.of(Set.copyOf(common));
    }
}
