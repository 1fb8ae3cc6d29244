package org.apricotdeal.catalogue.change;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.apricotdeal.catalogue.model.Catalogue;

/**
 * The value of the key-value service that holds the catalogue: the catalogue itself, and the changes that led to it most
 * recently. By them an operator whose reply was lost recognises its change even after further ones, and a change that is
 * based on an older version learns which entries others have touched since.
 *
 * @param catalogue the catalogue in force
 * @param recentChanges the most recent changes, oldest first, without gaps; the last one made the catalogue in force
 */
public record StoredCatalogue(Catalogue catalogue, List<AcceptedChange> recentChanges) {
    /** Key of the value. */
    public static final String KEY = "/apricotdeal/catalogue";

    /** Changes that are kept. */
    public static final int MAX_RECENT_CHANGES = 256;

    /** What an absent key stands for. */
    public static final StoredCatalogue EMPTY = new StoredCatalogue(Catalogue.EMPTY, List.of());

    /** Copies the list. */
    public StoredCatalogue {
        recentChanges = List.copyOf(recentChanges);
    }

    /**
     * Finds a recent change.
     *
     * @param changeId its id
     * @return the change, or nothing where it was not accepted, or too long ago
     */
    public Optional<AcceptedChange> find(String changeId) {
        return recentChanges.stream()
                .filter(change -> change.changeId().equals(changeId))
                .findFirst();
    }

    /**
     * Returns the entries touched after a version.
     *
     * @param version the version
     * @return their keys, or nothing where the changes kept do not reach back that far
     */
    public Optional<Set<String>> keysTouchedAfter(long version) {
        if (version >= catalogue.version()) {
            return Optional.of(Set.of());
        }
        long oldestKept = catalogue.version() - recentChanges.size() + 1;
        if (version + 1 < oldestKept) {
            return Optional.empty();
        }
        Set<String> keys = new TreeSet<>();
        for (AcceptedChange change : recentChanges) {
            if (change.version() > version) {
                keys.addAll(change.keys());
            }
        }
        return Optional.of(keys);
    }

    /**
     * Adds a change.
     *
     * @param next the catalogue that it made
     * @param keys keys of the entries that it touched
     * @return the value to store
     */
    StoredCatalogue with(Catalogue next, Set<String> keys) {
        List<AcceptedChange> changes = new ArrayList<>(recentChanges);
        changes.add(new AcceptedChange(next.changeId(), next.version(), List.copyOf(new TreeSet<>(keys))));
        int surplus = Math.max(0, changes.size() - MAX_RECENT_CHANGES);
        return new StoredCatalogue(next, changes.subList(surplus, changes.size()));
    }
}
