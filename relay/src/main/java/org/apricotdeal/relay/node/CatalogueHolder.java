package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.port.RecordCodec;

/** The catalogue in force; its version only rises in the life of a process. */
final class CatalogueHolder {
    private final RecordCodec codec;
    private final DecisionLog log;
    private final CopyOnWriteArrayList<Consumer<RelayCatalogue>> listeners = new CopyOnWriteArrayList<>();
    private volatile InForce inForce;

    /** A catalogue and the operator's bytes that it was read from. */
    private record InForce(RelayCatalogue catalogue, ByteBuffer bytes) {}

    CatalogueHolder(RecordCodec codec, DecisionLog log) {
        this.codec = codec;
        this.log = log;
    }

    void subscribe(Consumer<RelayCatalogue> listener) {
        listeners.add(listener);
    }

    Optional<RelayCatalogue> current() {
        InForce now = inForce;
        return now == null ? Optional.empty() : Optional.of(now.catalogue());
    }

    ByteBuffer bytes() {
        InForce now = inForce;
        return now == null ? ByteBuffer.allocate(0) : now.bytes().duplicate();
    }

    long version() {
        InForce now = inForce;
        return now == null ? 0 : now.catalogue().version();
    }

    /** Puts the operator's bytes in force where they are a newer catalogue. */
    void offer(byte[] bytes, String learnedFrom) {
        switch (codec.catalogue(bytes)) {
            case Result.Ok<RelayCatalogue, String>(RelayCatalogue offered) -> adopt(offered, bytes, learnedFrom);
            case Result.Err<RelayCatalogue, String>(String reason) ->
                log.state("catalogue_unreadable")
                        .with("from", learnedFrom)
                        .with("reason", reason)
                        .write();
        }
    }

    private synchronized void adopt(RelayCatalogue offered, byte[] bytes, String learnedFrom) {
        if (offered.version() <= version()) {
            return;
        }
        log.state("catalogue_in_force")
                .with("version", offered.version())
                .with("before", version())
                .with("from", learnedFrom)
                .write();
        inForce = new InForce(offered, ByteBuffer.wrap(bytes).asReadOnlyBuffer());
        listeners.forEach(listener -> listener.accept(offered));
    }
}
