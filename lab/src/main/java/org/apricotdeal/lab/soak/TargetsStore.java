package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.Evacuations;
import org.apricotdeal.relay.port.StoreRevision;

/** The users' store: the operator's words and the entries of the VMs, each write with a revision of its own. */
final class TargetsStore {
    private static final long INCARNATION = 1;

    private final List<Evacuations.Change> history = new ArrayList<>();
    private final Map<FailureDomainId, Long> sinceRevision = new HashMap<>();
    private final Map<FailureDomainId, Long> obeyFromMillis = new HashMap<>();
    private final Map<VmId, VmWrite> entries = new HashMap<>();
    private long revision;
    private long compactedRevision;

    /**
     * The last write of a VM's entry.
     *
     * @param revision revision of the write
     * @param vm the VM
     * @param entry the entry; empty if it was removed
     */
    record VmWrite(long revision, VmId vm, Optional<UpstreamVm> entry) {}

    /**
     * What the store answers to a watch.
     *
     * @param revision revision as of which it answers
     * @param changes the operator's words since the revision asked for; empty if the history is lost
     * @param listing all of the operator's words
     * @param vms the last write of each VM since the revision asked for
     */
    record Answer(long revision, Optional<List<Evacuations.Change>> changes, Evacuations listing, List<VmWrite> vms) {}

    /** Writes or deletes the key of a domain; a word that is given again does not begin a new time to obey. */
    void write(FailureDomainId domain, boolean evacuated, long nowMillis) {
        revision++;
        history.add(new Evacuations.Change(domain, evacuated, revision));
        if (evacuated) {
            sinceRevision.put(domain, revision);
            obeyFromMillis.putIfAbsent(domain, nowMillis);
        } else {
            sinceRevision.remove(domain);
            obeyFromMillis.remove(domain);
        }
    }

    /** Writes the entry of a VM, or removes it; returns the revision. */
    long write(VmId vm, Optional<UpstreamVm> entry) {
        revision++;
        entries.put(vm, new VmWrite(revision, vm, entry));
        return revision;
    }

    /** Forgets the history, so that watches have to list anew. */
    void compact() {
        compactedRevision = revision;
    }

    Answer answer(long sinceWatched) {
        Optional<List<Evacuations.Change>> changes = sinceWatched < compactedRevision
                ? Optional.empty()
                : Optional.of(history.stream()
                        .filter(change -> change.revision() > sinceWatched)
                        .toList());
        List<VmWrite> vms = entries.values().stream()
                .filter(write -> write.revision() > sinceWatched)
                .toList();
        return new Answer(revision, changes, words(), vms);
    }

    Evacuations words() {
        return new Evacuations(new StoreRevision(INCARNATION, revision), sinceRevision);
    }

    /** Returns when the word to evacuate a domain was acknowledged; empty if none is in force. */
    Optional<Long> acknowledgedMillis(FailureDomainId domain) {
        return Optional.ofNullable(obeyFromMillis.get(domain));
    }
}
