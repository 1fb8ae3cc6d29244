package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.port.RecordCodec;

/** Holds the catalogue in force, whose version never decreases within a process. */
final class CatalogueHolder {
    private final RecordCodec codec;
    private final DecisionLog log;
    private final CopyOnWriteArrayList<Consumer<RelayCatalogue>> listeners = new CopyOnWriteArrayList<>();
    private volatile ActiveCatalogue active;

    /** A catalogue and the operator's bytes from which it was parsed. */
    private record ActiveCatalogue(RelayCatalogue catalogue, ByteBuffer bytes) {}

    CatalogueHolder(RecordCodec codec, DecisionLog log) {
        this.codec = codec;
        this.log = log;
    }

    void subscribe(Consumer<RelayCatalogue> listener) {
        listeners.add(listener);
    }

    Optional<RelayCatalogue> current() {
        ActiveCatalogue snapshot = active;
        return snapshot == null ? Optional.empty() : Optional.of(snapshot.catalogue());
    }

    ByteBuffer bytes() {
        ActiveCatalogue snapshot = active;
        return snapshot == null ? ByteBuffer.allocate(0) : snapshot.bytes().duplicate();
    }

    long version() {
        ActiveCatalogue snapshot = active;
        return snapshot == null ? 0 : snapshot.catalogue().version();
    }

    /** Parses a catalogue and puts it in force if it is newer than the current one; returns false if it is unreadable. */
    boolean offer(byte[] bytes, String source) {
        return switch (codec.catalogue(bytes)) {
            case Result.Ok<RelayCatalogue, String>(RelayCatalogue newCatalogue) -> {
                adopt(newCatalogue, bytes, source);
                yield true;
            }
            case Result.Err<RelayCatalogue, String>(String reason) -> {
                log.state("catalogue_unreadable")
                        .with("from", source)
                        .with("reason", reason)
                        .write();
                yield false;
            }
        };
    }

    private synchronized void adopt(RelayCatalogue newCatalogue, byte[] bytes, String source) {
        if (newCatalogue.version() <= version()) {
            return;
        }
        log.state("catalogue_in_force")
                .with("version", newCatalogue.version())
                .with("before", version())
                .with("from", source)
                .write();
        active = new ActiveCatalogue(newCatalogue, ByteBuffer.wrap(bytes).asReadOnlyBuffer());
        listeners.forEach(listener -> listener.accept(newCatalogue));
    }
}
