package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.port.StoreRevision;

/**
 * The failure domains that the operator evacuates, as of a revision of the store.
 *
 * <p>Load pattern: the operator's words reach a node by its watch, by a listing after the history was lost, and by
 * heartbeats of several peers, repeatedly and out of order. Whatever comes with the later revision holds, so an order that
 * was taken back never returns and one that was given is never lost. The store may be restored from an older copy at any
 * moment; what is known of its new incarnation then replaces all that is known of the former one.
 *
 * @param revision revision of the store up to which the words are known; {@link StoreRevision#NONE} if none are known yet
 * @param sinceRevision number of the change, in the same incarnation of the store, that gave the word for each failure
 *     domain that is being evacuated
 */
public record Evacuations(StoreRevision revision, Map<FailureDomainId, Long> sinceRevision) {
    /** What a node knows that has just started. */
    public static final Evacuations UNKNOWN = new Evacuations(StoreRevision.NONE, Map.of());

    /** Copies the map. */
    public Evacuations {
        sinceRevision = Map.copyOf(sinceRevision);
    }

    /**
     * A word of the operator.
     *
     * @param failureDomain the failure domain
     * @param evacuated whether it is to be evacuated, or the word is taken back
     * @param revision number of the change of the store that gave the word
     */
    public record Change(FailureDomainId failureDomain, boolean evacuated, long revision) {}

    /**
     * Returns whether the operator's words are known.
     *
     * @return false until a listing or a peer has told them
     */
    public boolean isKnown() {
        return revision.isKnown();
    }

    /**
     * Returns the failure domains that are being evacuated.
     *
     * @return their ids
     */
    public Set<FailureDomainId> domains() {
        return sinceRevision.keySet();
    }

    /**
     * Returns the later one of these and others, which the store listed or a peer told.
     *
     * @param others words as of a revision that may be earlier
     * @return these unless the others are of a later revision
     */
    public Evacuations latest(Evacuations others) {
        return others.revision.isAfter(revision) ? others : this;
    }

    /**
     * Returns what holds after changes that a watch returned. Those up to the known revision are left out, because a peer
     * has told what came of them.
     *
     * @param changes words ordered by revision
     * @param upToRevision revision up to which the changes are complete
     * @return these with the changes; unchanged if none are known yet of the same incarnation of the store
     */
    public Evacuations with(List<Change> changes, StoreRevision upToRevision) {
        if (!upToRevision.hasIncarnationOf(revision) || !upToRevision.isAfter(revision)) {
            return this;
        }
        Map<FailureDomainId, Long> changed = new HashMap<>(sinceRevision);
        for (Change change : changes) {
            if (change.revision() <= revision.number()) {
                continue;
            }
            if (change.evacuated()) {
                changed.put(change.failureDomain(), change.revision());
            } else {
                changed.remove(change.failureDomain());
            }
        }
        return new Evacuations(upToRevision, changed);
    }
}
