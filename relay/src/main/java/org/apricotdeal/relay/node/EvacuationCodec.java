package org.apricotdeal.relay.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.policy.Evacuations;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.wire.gen.TRelayEvacuations;
import org.apricotdeal.wire.gen.TRelayHeartbeat;

/** Writes evacuations to heartbeats and reads them again. Each heartbeat carries all of them: they are a few names. */
final class EvacuationCodec {
    private EvacuationCodec() {}

    /** Adds the evacuations to a heartbeat, unless they are unknown. */
    static void encode(Evacuations evacuations, TRelayHeartbeat heartbeat) {
        if (evacuations.isKnown()) {
            Map<String, Long> sinceRevision = new HashMap<>();
            evacuations.sinceRevision().forEach((domain, revision) -> sinceRevision.put(domain.value(), revision));
            TRelayEvacuations encoded =
                    new TRelayEvacuations(evacuations.revision().number(), sinceRevision);
            encoded.setIncarnation(evacuations.revision().incarnation());
            heartbeat.setEvacuations(encoded);
        }
    }

    /**
     * Returns the evacuations that the sender of a heartbeat knows; empty if it knows none yet.
     *
     * @throws IllegalArgumentException if the name of a failure domain is invalid
     */
    static Optional<Evacuations> decode(TRelayHeartbeat heartbeat) {
        if (!heartbeat.isSetEvacuations()) {
            return Optional.empty();
        }
        TRelayEvacuations evacuations = heartbeat.getEvacuations();
        Map<FailureDomainId, Long> sinceRevision = new HashMap<>();
        evacuations
                .getSinceRevision()
                .forEach((domain, revision) -> sinceRevision.put(new FailureDomainId(domain), revision));
        return Optional.of(new Evacuations(
                new StoreRevision(evacuations.getIncarnation(), evacuations.getRevision()), sinceRevision));
    }
}
