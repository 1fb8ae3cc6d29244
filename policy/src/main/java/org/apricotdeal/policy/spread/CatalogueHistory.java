package org.apricotdeal.policy.spread;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apricotdeal.catalogue.model.Catalogue;

/** The latest catalogue versions that this node has adopted, used to compute updates for peers. */
final class CatalogueHistory {
    private final int maxVersions;
    private final Deque<Catalogue> versions = new ArrayDeque<>();

    CatalogueHistory(int maxVersions) {
        this.maxVersions = maxVersions;
    }

    void add(Catalogue catalogue) {
        versions.addLast(catalogue);
        if (versions.size() > maxVersions) {
            versions.removeFirst();
        }
    }

    /** Creates the update from a version to the newest one; it is full if the history does not contain that version. */
    CatalogueChange since(long haveVersion, long platformRevision) {
        Catalogue newest = versions.getLast();
        for (Catalogue catalogue : versions) {
            if (catalogue.version() == haveVersion) {
                return CatalogueChange.between(catalogue, newest, platformRevision);
            }
        }
        return CatalogueChange.full(newest, platformRevision);
    }
}
