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
 * Infers which parts of prompts crash the VMs of one model release.
 *
 * <p>A VM that crashes loses all its requests, each with several parts; a deadly part is among those of the requests that
 * were not being answered yet. Any answer to a prompt with a part clears the part of the crashes before it. What remains is
 * explained by as few parts as possible: the part with the most uncleared crashes (by cause, then by VM) is blamed, the
 * crashes that it explains are set aside, and the rest is considered again. So the parts of requests that were lost beside
 * a deadly one stay free.
 *
 * <p>Parts that were answered before the crashes need more crashes than unknown ones, and time for other nodes to clear
 * them. Crashes at nearly the same time count once, since the loss of a rack or of a node's connections has another cause.
 *
 * <p>Parts that occur in the same lost prompts only are blamed together: a request is held back if it has all of them. Of
 * several explanations of the same crashes the one that holds back the fewest requests is used.
 */
final class BlameInference {
    /** A request that crashed a VM is repeated once, so one request can crash two. */
    private static final int MIN_CRASHES = 2;

    /** The same for a part that has been answered before, which a chance loss of two VMs must not exclude. */
    private static final int MIN_CRASHES_OF_SOUND_PART = 3;

    /** Crashes within this time of each other have a common cause. */
    private static final long COMMON_CAUSE_MILLIS = 100;

    /** Time in which an answer at any node becomes known to all; several heartbeat periods. */
    private static final long CLEARING_MILLIS = 1_000;

    private final List<CrashReport> crashes;
    private final Set<RequestTrait> blamedElsewhere;
    private final long nowMillis;
    private final Map<CrashId, Integer> causes = new HashMap<>();

    /** A lost request, as the evidence against one of its parts. */
    private record Evidence(CrashReport crash, List<RequestTrait> prompt) {}

    /** A part with the evidence against it; crashes with a common cause count as one in the number of causes. */
    private record Suspect(RequestTrait part, Set<Evidence> evidence, boolean sound, int causeCount, int crashCount) {
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
        numberCauses();
    }

    /**
     * Infers the blamed parts.
     *
     * @param crashes crashes of VMs that serve the same model release
     * @param blamedElsewhere parts that crash other models or releases of the upstream; a single crash confirms them
     * @param nowMillis monotonic time
     * @return the blamed parts, the best explanation first
     */
    static List<BlamedTraits> infer(
            Collection<CrashReport> crashes, Set<RequestTrait> blamedElsewhere, long nowMillis) {
        return new BlameInference(crashes, blamedElsewhere, nowMillis).blame();
    }

    private void numberCauses() {
        long firstMillis = 0;
        int cause = 0;
        for (CrashReport crash : crashes) {
            if (cause == 0 || crash.atMillis() - firstMillis > COMMON_CAUSE_MILLIS) {
                cause++;
                firstMillis = crash.atMillis();
            }
            causes.put(crash.id(), cause);
        }
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

    /** Returns the unknown parts with the most crashes, or else the sound ones, if there are enough crashes. */
    private List<Suspect> strongestSuspects(List<CrashReport> unexplained) {
        List<Suspect> suspects = suspects(unexplained);
        List<Suspect> unknown = suspects.stream()
                .filter(suspect -> !suspect.sound() && suspect.causeCount() >= minCrashes(suspect.part()))
                .toList();
        return mostCrashes(
                unknown.isEmpty() ? suspects.stream().filter(this::isRefuted).toList() : unknown);
    }

    private int minCrashes(RequestTrait part) {
        return blamedElsewhere.contains(part) ? 1 : MIN_CRASHES;
    }

    /** Returns whether a part that used to be sound has crashed several VMs since, with time to be answered again. */
    private boolean isRefuted(Suspect suspect) {
        return suspect.sound()
                && suspect.causeCount() >= MIN_CRASHES_OF_SOUND_PART
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

    private List<Suspect> suspects(List<CrashReport> unexplained) {
        Map<RequestTrait, Set<Evidence>> evidenceByPart = new HashMap<>();
        Set<RequestTrait> sound = soundTraits(unexplained);
        for (CrashReport crash : unexplained) {
            for (List<RequestTrait> prompt : crash.requests()) {
                for (RequestTrait part : prompt) {
                    if (!crash.clearedTraits().contains(part)) {
                        evidenceByPart
                                .computeIfAbsent(part, id -> new HashSet<>())
                                .add(new Evidence(crash, prompt));
                    }
                }
            }
        }
        List<Suspect> suspects = new ArrayList<>();
        evidenceByPart.forEach((part, evidence) -> suspects.add(
                new Suspect(part, evidence, sound.contains(part), countCauses(evidence), countCrashes(evidence))));
        suspects.sort(Comparator.comparing(suspect -> suspect.part().toString()));
        return suspects;
    }

    private static Set<RequestTrait> soundTraits(List<CrashReport> crashes) {
        Set<RequestTrait> sound = new HashSet<>();
        crashes.forEach(crash -> sound.addAll(crash.soundTraits()));
        return sound;
    }

    private int countCauses(Set<Evidence> evidence) {
        Set<Integer> distinct = new HashSet<>();
        evidence.forEach(item -> distinct.add(causes.get(item.crash().id())));
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

    /** Returns the blamed parts for suspects that explain the crashes equally well. */
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
     * Returns the sets of parts to blame for a suspect: the parts that all its prompts have in common. With two different
     * prompts, each of them may have a cause of its own that hides behind a shared part, so each is blamed as a whole.
     */
    private static Set<Set<RequestTrait>> groups(Suspect suspect, Set<RequestTrait> sound) {
        Set<Set<RequestTrait>> prompts = new HashSet<>();
        for (Evidence item : suspect.evidence()) {
            Set<RequestTrait> parts = new HashSet<>(item.prompt());
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
