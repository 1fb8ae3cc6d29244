package org.apricotdeal.catalogue.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One version of the catalogue. Versions grow by one with each accepted change.
 *
 * @param version the version; 0 is the empty catalogue before the first change
 * @param changeId id of the change that made this version, chosen by its operator; settles lost replies
 * @param entries entries by key, sorted
 */
public record Catalogue(long version, String changeId, Map<String, Entry> entries) {
    /** The catalogue before the first change. */
    public static final Catalogue EMPTY = new Catalogue(0, "none", Map.of());

    /** Copies and sorts the entries. */
    public Catalogue {
        entries = java.util.Collections.unmodifiableMap(new TreeMap<>(entries));
    }

    /**
     * Creates a version.
     *
     * @param version the version
     * @param changeId id of the change that made it
     * @param entries the entries
     * @return the catalogue
     */
    public static Catalogue of(long version, String changeId, Collection<? extends Entry> entries) {
        Map<String, Entry> byKey = new TreeMap<>();
        for (Entry entry : entries) {
            byKey.put(entry.key(), entry);
        }
        return new Catalogue(version, changeId, byKey);
    }

    /**
     * Returns the entries of one type.
     *
     * @param type the type
     * @param <T> the type
     * @return the entries, sorted by key
     */
    public <T extends Entry> List<T> all(Class<T> type) {
        List<T> found = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (type.isInstance(entry)) {
                found.add(type.cast(entry));
            }
        }
        return found;
    }

    /**
     * Finds an entry.
     *
     * @param key kind and name, such as {@code class urgent}
     * @param type its type
     * @param <T> its type
     * @return the entry, or nothing
     */
    public <T extends Entry> Optional<T> find(String key, Class<T> type) {
        Entry entry = entries.get(key);
        return type.isInstance(entry) ? Optional.of(type.cast(entry)) : Optional.empty();
    }

    /**
     * Returns the fleet-wide settings.
     *
     * @return the catalogue's own, or the defaults
     */
    public PolicyEntry policy() {
        return find("policy", PolicyEntry.class).orElse(PolicyEntry.DEFAULT);
    }
}
