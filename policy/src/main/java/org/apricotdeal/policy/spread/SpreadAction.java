package org.apricotdeal.policy.spread;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.NodeId;

/** Actions that {@link CatalogueSpread} requests from the component that runs it. */
public sealed interface SpreadAction {
    /**
     * Read a catalogue newer than a revision from the platform; answered by {@link SpreadEvent.PlatformCatalogue} or
     * {@link SpreadEvent.PlatformFailed}.
     *
     * @param callId number of the call
     * @param afterRevision newest known revision; 0 to read any revision
     * @param waitMillis maximum time for which the platform waits for a newer revision; 0 to reply at once
     */
    record QueryPlatform(long callId, long afterRevision, long waitMillis) implements SpreadAction {}

    /**
     * Send this node's catalogue version to a peer.
     *
     * @param peer node to send to
     * @param version version of this node's current catalogue
     * @param digest digest of this node's current catalogue
     */
    record AnnounceVersion(NodeId peer, long version, String digest) implements SpreadAction {}

    /**
     * Request a catalogue update from a peer.
     *
     * @param peer node to send the request to
     * @param haveVersion this node's current version; 0 to request the full catalogue
     */
    record RequestCatalogue(NodeId peer, long haveVersion) implements SpreadAction {}

    /**
     * Send a catalogue update to a peer.
     *
     * @param peer node to send to
     * @param change update to send
     */
    record SendCatalogue(NodeId peer, CatalogueChange change) implements SpreadAction {}

    /**
     * Apply a catalogue at once; its version is higher than all versions adopted before.
     *
     * @param catalogue catalogue to apply
     * @param source {@code platform}, or the name of the peer that sent the catalogue
     */
    record Adopt(Catalogue catalogue, String source) implements SpreadAction {}

    /**
     * This node has no catalogue and must not serve.
     *
     * @param reason human-readable reason
     */
    record NotReady(String reason) implements SpreadAction {}

    /**
     * Report that a peer has different entries for the same version. Nothing is changed; an operator has to investigate.
     *
     * @param peer node whose digest differs
     * @param version version that both nodes have
     */
    record Diverged(NodeId peer, long version) implements SpreadAction {}
}
