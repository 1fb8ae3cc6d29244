package org.apricotdeal.lab.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.Evacuations;
import org.apricotdeal.relay.port.StoreRevision;

/**
 * The users' store: the operator's words and the entries of the VMs, each write with a revision of its own. It may return
 * from an older copy, which loses the writes since and gives their revisions out again.
 */
final class TargetsStore {
    /** Age of the oldest copy that is kept. */
    private static final long MAX_COPY_AGE_MILLIS = 14_000;

    private final List<Evacuations.Change> history = new ArrayList<>();
    private final Map<FailureDomainId, Long> sinceRevision = new HashMap<>();
    private final Map<FailureDomainId, Long> obeyFromMillis = new HashMap<>();
    private final Map<VmId, VmWrite> entries = new HashMap<>();
    private final Set<FailureDomainId> wanted = new HashSet<>();
    private final Deque<Copy> copies = new ArrayDeque<>();
    private long incarnation = 1;
    private long revision;
    private long compactedRevision;

    /**
     * The last write of a VM's entry.
     *
     * @param number number of the write in the incarnation of the store
     * @param vm the VM
     * @param entry the entry; empty if it was removed
     */
    private record VmWrite(long number, VmId vm, Optional<UpstreamVm> entry) {}

    /**
     * The last write of a VM's entry, as the store tells it.
     *
     * @param revision revision of the write
     * @param vm the VM
     * @param entry the entry; empty if it was removed
     */
    record ToldEntry(StoreRevision revision, VmId vm, Optional<UpstreamVm> entry) {}

    /** The state as of a moment. */
    private record Copy(
            long atMillis,
            List<Evacuations.Change> history,
            Map<FailureDomainId, Long> sinceRevision,
            Map<VmId, VmWrite> entries,
            long revision,
            long compactedRevision) {}

    /**
     * What the store answers to a watch.
     *
     * @param changes the operator's words since the revision asked for; empty if the history is lost
     * @param listing all of the operator's words, and the revision as of which the store answers
     * @param vms the last write of each VM since the revision asked for, or of all VMs if the history is lost
     */
    record Answer(Optional<List<Evacuations.Change>> changes, Evacuations listing, List<ToldEntry> vms) {}

    /** Writes or deletes the key of a domain; a word that is given again does not begin a new time to obey. */
    void write(FailureDomainId domain, boolean evacuated, long nowMillis) {
        revision++;
        history.add(new Evacuations.Change(domain, evacuated, revision));
        if (evacuated) {
            wanted.add(domain);
            sinceRevision.put(domain, revision);
            obeyFromMillis.putIfAbsent(domain, nowMillis);
        } else {
            wanted.remove(domain);
            sinceRevision.remove(domain);
            obeyFromMillis.remove(domain);
        }
    }

    /** Writes the entry of a VM, or removes it; returns the revision. */
    StoreRevision write(VmId vm, Optional<UpstreamVm> entry) {
        revision++;
        entries.put(vm, new VmWrite(revision, vm, entry));
        return at(revision);
    }

    /** Forgets the history, so that watches have to list anew. */
    void compact() {
        compactedRevision = revision;
    }

    /** Keeps a copy of the state as it is now. */
    void copy(long nowMillis) {
        copies.addLast(new Copy(
                nowMillis,
                List.copyOf(history),
                Map.copyOf(sinceRevision),
                Map.copyOf(entries),
                revision,
                compactedRevision));
        while (nowMillis - copies.getFirst().atMillis() > MAX_COPY_AGE_MILLIS) {
            copies.removeFirst();
        }
    }

    /**
     * Restores the newest copy of an age, or the oldest one; a word that comes back with it is to be obeyed from now on.
     *
     * @return time of the copy
     */
    long restore(long ageMillis, long nowMillis) {
        Copy copy = copies.getFirst();
        for (Copy candidate : copies) {
            if (nowMillis - candidate.atMillis() >= ageMillis) {
                copy = candidate;
            }
        }
        history.clear();
        history.addAll(copy.history());
        sinceRevision.clear();
        sinceRevision.putAll(copy.sinceRevision());
        entries.clear();
        entries.putAll(copy.entries());
        revision = copy.revision();
        compactedRevision = copy.compactedRevision();
        incarnation++;
        obeyFromMillis.keySet().retainAll(sinceRevision.keySet());
        sinceRevision.keySet().forEach(domain -> obeyFromMillis.putIfAbsent(domain, nowMillis));
        return copy.atMillis();
    }

    /** Writes the operator's words again that the store has lost, also those that were taken back. */
    void writeWordsAgain(List<FailureDomainId> domains, long nowMillis) {
        for (FailureDomainId domain : domains) {
            if (wanted.contains(domain) != sinceRevision.containsKey(domain)) {
                write(domain, wanted.contains(domain), nowMillis);
            }
        }
    }

    Answer answer(StoreRevision watched) {
        boolean lost = !watched.hasIncarnationOf(at(revision));
        return answer(lost ? StoreRevision.NONE.number() : watched.number());
    }

    /** Answers a watch from a revision of whatever incarnation. */
    Answer answer(long sinceWatched) {
        boolean lost = sinceWatched < compactedRevision || sinceWatched > revision;
        Optional<List<Evacuations.Change>> changes = lost
                ? Optional.empty()
                : Optional.of(history.stream()
                        .filter(change -> change.revision() > sinceWatched)
                        .toList());
        List<ToldEntry> vms = entries.values().stream()
                .filter(write -> lost || write.number() > sinceWatched)
                .map(write -> new ToldEntry(at(write.number()), write.vm(), write.entry()))
                .toList();
        return new Answer(changes, words(), vms);
    }

    private StoreRevision at(long number) {
        return new StoreRevision(incarnation, number);
    }

    Evacuations words() {
        return new Evacuations(at(revision), sinceRevision);
    }

    /** Returns when the word to evacuate a domain was acknowledged; empty if none is in force. */
    Optional<Long> acknowledgedMillis(FailureDomainId domain) {
        return Optional.ofNullable(obeyFromMillis.get(domain));
    }
}
