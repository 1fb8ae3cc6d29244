package org.apricotdeal.policy.spread;

import java.util.Optional;
import java.util.Set;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.NodeId;

/** What the catalogue's spread is told. */
public sealed interface SpreadEvent {
    /**
     * The set of live nodes has changed, or is known for the first time.
     *
     * @param live live nodes of all failure domains that this node can reach, itself included
     */
    record PeersChanged(Set<PeerRef> live) implements SpreadEvent {
        /** Copies the set. */
        public PeersChanged {
            live = Set.copyOf(live);
        }
    }

    /**
     * The platform answered {@link SpreadAction.AskPlatform}.
     *
     * @param callId number of the call
     * @param revision the platform's revision of the catalogue; 0 where there is none yet
     * @param catalogue the newest catalogue; nothing where none is newer than the revision asked for
     */
    record PlatformCatalogue(long callId, long revision, Optional<Catalogue> catalogue) implements SpreadEvent {}

    /**
     * The platform gave no answer, or one that is no catalogue.
     *
     * @param callId number of the call
     */
    record PlatformFailed(long callId) implements SpreadEvent {}

    /**
     * A peer told its version, in a heartbeat or otherwise.
     *
     * @param peer the peer
     * @param version its version; 0 where it has none
     * @param digest its digest
     */
    record PeerVersion(NodeId peer, long version, String digest) implements SpreadEvent {}

    /**
     * A peer asks for what has changed.
     *
     * @param peer the peer
     * @param haveVersion its version; 0 where it wants the whole catalogue
     */
    record PeerAsks(NodeId peer, long haveVersion) implements SpreadEvent {}

    /**
     * A peer sent what has changed.
     *
     * @param peer the peer
     * @param change the changed entries, or the whole catalogue
     */
    record PeerCatalogue(NodeId peer, CatalogueChange change) implements SpreadEvent {}

    /** Time has passed; expected at least every 200 ms. */
    record Tick() implements SpreadEvent {}
}
