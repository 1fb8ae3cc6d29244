package org.apricotdeal.node.catalogue;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.apricotdeal.catalogue.model.Catalogue;

/** Holds the catalogue version in force; safe for use by all threads of the node. */
public final class CatalogueRef {
    private final AtomicReference<Catalogue> current = new AtomicReference<>();

    /**
     * Returns the catalogue version in force.
     *
     * @return the catalogue, or empty if none has been adopted yet
     */
    public Optional<Catalogue> get() {
        return Optional.ofNullable(current.get());
    }

    void set(Catalogue catalogue) {
        current.set(catalogue);
    }
}
