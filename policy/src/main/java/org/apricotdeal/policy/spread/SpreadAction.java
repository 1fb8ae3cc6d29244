package org.apricotdeal.policy.spread;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.NodeId;

/** What the catalogue's spread asks its owner to do. */
public sealed interface SpreadAction {
    /**
     * Ask the platform for a catalogue newer than a revision; answered by {@link SpreadEvent.PlatformCatalogue} or
     * {@link SpreadEvent.PlatformFailed}.
     *
     * @param callId number of the call
     * @param afterRevision revision that is known; 0 to read whatever there is
     * @param waitMillis longest time for which the platform lets the call wait for a change; 0 to read at once
     */
    record AskPlatform(long callId, long afterRevision, long waitMillis) implements SpreadAction {}

    /**
     * Tell a peer this node's version.
     *
     * @param peer the peer
     * @param version the version
     * @param digest its digest
     */
    record TellVersion(NodeId peer, long version, String digest) implements SpreadAction {}

    /**
     * Ask a peer for what has changed.
     *
     * @param peer the peer
     * @param haveVersion version in force here; 0 to ask for the whole catalogue
     */
    record AskPeer(NodeId peer, long haveVersion) implements SpreadAction {}

    /**
     * Send a peer what has changed.
     *
     * @param peer the peer
     * @param change the change
     */
    record SendCatalogue(NodeId peer, CatalogueChange change) implements SpreadAction {}

    /**
     * Put a catalogue in force at once; its version is higher than any before it.
     *
     * @param catalogue the catalogue
     * @param source {@code platform} or the name of the peer that it came from
     */
    record Adopt(Catalogue catalogue, String source) implements SpreadAction {}

    /**
     * This node has no catalogue and must not serve.
     *
     * @param reason why, for people
     */
    record NotReady(String reason) implements SpreadAction {}

    /**
     * A peer holds other entries under the same version. Nothing is changed; operators have to look.
     *
     * @param peer the peer
     * @param version the version
     */
    record Diverged(NodeId peer, long version) implements SpreadAction {}
}
