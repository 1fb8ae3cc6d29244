package org.apricotdeal.node.catalogue;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.apricotdeal.catalogue.model.Catalogue;

/** The catalogue version in force, for all threads of the node. */
public final class CatalogueRef {
    private final AtomicReference<Catalogue> current = new AtomicReference<>();

    /**
     * Returns the version in force.
     *
     * @return the catalogue, or nothing before the first
     */
    public Optional<Catalogue> get() {
        return Optional.ofNullable(current.get());
    }

    void set(Catalogue catalogue) {
        current.set(catalogue);
    }
}
