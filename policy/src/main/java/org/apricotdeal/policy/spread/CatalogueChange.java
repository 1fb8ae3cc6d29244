package org.apricotdeal.policy.spread;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;

/**
 * What one node sends another: the entries that have changed since a version, or the whole catalogue.
 *
 * @param version the version that the changes lead to
 * @param changeId id of the change that made that version
 * @param baseVersion the version that they apply to; 0 where the entries are the whole catalogue
 * @param platformRevision the platform's revision of that version, so that the receiver need not read it; 0 where unknown
 * @param entries changed entries by key; nothing where the entry was deleted
 * @param digest digest of the catalogue that they lead to, see {@link CatalogueDigest}
 */
public record CatalogueChange(
        long version,
        String changeId,
        long baseVersion,
        long platformRevision,
        Map<String, Optional<Entry>> entries,
        String digest) {
    /** Freezes the entries. */
    public CatalogueChange {
        entries = Collections.unmodifiableMap(new TreeMap<>(entries));
    }

    /**
     * Tells whether the change carries the whole catalogue.
     *
     * @return true where it needs no base
     */
    public boolean isWhole() {
        return baseVersion == 0;
    }

    /**
     * Makes a change that carries a whole catalogue.
     *
     * @param catalogue the catalogue
     * @param platformRevision the platform's revision of it; 0 where unknown
     * @return the change
     */
    public static CatalogueChange whole(Catalogue catalogue, long platformRevision) {
        return between(Catalogue.EMPTY, catalogue, platformRevision);
    }

    /**
     * Makes the change from one version to another.
     *
     * @param from the earlier version
     * @param to the later version
     * @param platformRevision the platform's revision of the later version; 0 where unknown
     * @return the change
     */
    public static CatalogueChange between(Catalogue from, Catalogue to, long platformRevision) {
        Map<String, Optional<Entry>> changed = new TreeMap<>();
        for (Map.Entry<String, Entry> entry : to.entries().entrySet()) {
            if (!entry.getValue().equals(from.entries().get(entry.getKey()))) {
                changed.put(entry.getKey(), Optional.of(entry.getValue()));
            }
        }
        for (String key : from.entries().keySet()) {
            if (!to.entries().containsKey(key)) {
                changed.put(key, Optional.empty());
            }
        }
        return new CatalogueChange(
                to.version(), to.changeId(), from.version(), platformRevision, changed, CatalogueDigest.of(to));
    }

    /**
     * Applies the change.
     *
     * @param base the catalogue of the base version; ignored where the change is whole
     * @return the later version
     */
    public Catalogue applyTo(Catalogue base) {
        Map<String, Entry> result = new TreeMap<>(isWhole() ? Map.of() : base.entries());
        for (Map.Entry<String, Optional<Entry>> entry : entries.entrySet()) {
            if (entry.getValue().isPresent()) {
                result.put(entry.getKey(), entry.getValue().get());
            } else {
                result.remove(entry.getKey());
            }
        }
        return new Catalogue(version, changeId, result);
    }
}
