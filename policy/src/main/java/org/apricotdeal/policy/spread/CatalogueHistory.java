package org.apricotdeal.policy.spread;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apricotdeal.catalogue.model.Catalogue;

/** The last versions that this node had in force, from which it makes changes for peers. */
final class CatalogueHistory {
    private final int keptVersions;
    private final Deque<Catalogue> versions = new ArrayDeque<>();

    CatalogueHistory(int keptVersions) {
        this.keptVersions = keptVersions;
    }

    void add(Catalogue catalogue) {
        versions.addLast(catalogue);
        if (versions.size() > keptVersions) {
            versions.removeFirst();
        }
    }

    /** Makes the change from a version to the newest one, whole where that version was never in force here. */
    CatalogueChange since(long haveVersion, long platformRevision) {
        Catalogue newest = versions.getLast();
        for (Catalogue catalogue : versions) {
            if (catalogue.version() == haveVersion) {
                return CatalogueChange.between(catalogue, newest, platformRevision);
            }
        }
        return CatalogueChange.whole(newest, platformRevision);
    }
}
