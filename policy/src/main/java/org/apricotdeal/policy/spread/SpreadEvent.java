package org.apricotdeal.policy.spread;

import java.util.Optional;
import java.util.Set;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.NodeId;

/** Events that {@link CatalogueSpread} handles. */
public sealed interface SpreadEvent {
    /**
     * The set of live nodes has changed or has become known for the first time.
     *
     * @param live live nodes of all failure domains that this node can reach, including itself
     */
    record PeersChanged(Set<PeerRef> live) implements SpreadEvent {
        /** Copies the set. */
        public PeersChanged {
            live = Set.copyOf(live);
        }
    }

    /**
     * The platform answered {@link SpreadAction.QueryPlatform}.
     *
     * @param callId number of the call
     * @param revision the platform's revision of the catalogue; 0 if there is no catalogue yet
     * @param catalogue newest catalogue; empty if there is none newer than the requested revision
     */
    record PlatformCatalogue(long callId, long revision, Optional<Catalogue> catalogue) implements SpreadEvent {}

    /**
     * The platform did not reply, or its reply was not a valid catalogue.
     *
     * @param callId number of the call
     */
    record PlatformFailed(long callId) implements SpreadEvent {}

    /**
     * A peer reported its catalogue version, in a heartbeat or in a message of its own.
     *
     * @param peer node that reported
     * @param version version of the peer's catalogue; 0 if it has none
     * @param digest digest of the peer's catalogue
     */
    record PeerVersion(NodeId peer, long version, String digest) implements SpreadEvent {}

    /**
     * A peer requests a catalogue update.
     *
     * @param peer node that sent the request
     * @param haveVersion version that the peer has; 0 if it requests the full catalogue
     */
    record PeerRequest(NodeId peer, long haveVersion) implements SpreadEvent {}

    /**
     * A peer sent a catalogue update.
     *
     * @param peer node that sent the update
     * @param change changed entries or the full catalogue
     */
    record PeerCatalogue(NodeId peer, CatalogueChange change) implements SpreadEvent {}

    /** Time has passed; expected at least every 200 ms. */
    record Tick() implements SpreadEvent {}
}
