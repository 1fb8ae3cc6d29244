package org.apricotdeal.policy.spread;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;

/**
 * A catalogue update that one node sends to another: the entries changed since a version, or the full catalogue.
 *
 * @param version version of the catalogue after the update
 * @param changeId id of the change that created that version
 * @param baseVersion version that the update applies to; 0 if it contains the full catalogue
 * @param platformRevision the platform's revision of that version, so that the receiver need not read it; 0 if unknown
 * @param entries changed entries by key; empty for a deleted entry
 * @param digest digest of the catalogue after the update, see {@link CatalogueDigest}
 */
public record CatalogueChange(
        long version,
        String changeId,
        long baseVersion,
        long platformRevision,
        Map<String, Optional<Entry>> entries,
        String digest) {
    /** Makes an unmodifiable sorted copy of the entries. */
    public CatalogueChange {
        entries = Collections.unmodifiableMap(new TreeMap<>(entries));
    }

    /**
     * Returns whether the update contains the full catalogue.
     *
     * @return true if the update can be applied without its base version
     */
    public boolean isFull() {
        return baseVersion == 0;
    }

    /**
     * Creates an update that contains the full catalogue.
     *
     * @param catalogue catalogue to send
     * @param platformRevision the platform's revision of the catalogue; 0 if unknown
     * @return an update without a base version
     */
    public static CatalogueChange full(Catalogue catalogue, long platformRevision) {
        return between(Catalogue.EMPTY, catalogue, platformRevision);
    }

    /**
     * Creates the update from one version to another.
     *
     * @param from earlier version
     * @param to later version
     * @param platformRevision the platform's revision of the later version; 0 if unknown
     * @return an update with the entries that differ
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
     * Applies the update.
     *
     * @param base catalogue of the base version; ignored if the update is full
     * @return catalogue of the later version
     */
    public Catalogue applyTo(Catalogue base) {
        Map<String, Entry> result = new TreeMap<>(isFull() ? Map.of() : base.entries());
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
