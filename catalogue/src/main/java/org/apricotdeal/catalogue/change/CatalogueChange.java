package org.apricotdeal.catalogue.change;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.misc.Names;

/**
 * An operator's change: entries to put and entries to delete.
 *
 * @param changeId id of the change, unique over all operators; a name
 * @param baseVersion version of the catalogue that the operator saw
 * @param puts entries to add or replace, by key
 * @param deletes keys of entries to delete
 */
public record CatalogueChange(String changeId, long baseVersion, Map<String, Entry> puts, Set<String> deletes) {
    /** Copies the collections and checks the id. */
    public CatalogueChange {
        Names.require(changeId);
        puts = java.util.Collections.unmodifiableMap(new TreeMap<>(puts));
        deletes = java.util.Collections.unmodifiableSet(new TreeSet<>(deletes));
    }

    /**
     * Returns the keys of all entries that the change touches.
     *
     * @return the keys, sorted
     */
    public Set<String> keys() {
        Set<String> keys = new TreeSet<>(puts.keySet());
        keys.addAll(deletes);
        return keys;
    }

    /**
     * Starts a change.
     *
     * @param changeId id of the change, unique over all operators; a name
     * @param baseVersion version of the catalogue that the operator saw
     * @return a builder
     */
    public static Builder builder(String changeId, long baseVersion) {
        return new Builder(changeId, baseVersion);
    }

    /** Collects the parts of a change. */
    public static final class Builder {
        private final String changeId;
        private final long baseVersion;
        private final Map<String, Entry> puts = new TreeMap<>();
        private final Set<String> deletes = new TreeSet<>();

        private Builder(String changeId, long baseVersion) {
            this.changeId = changeId;
            this.baseVersion = baseVersion;
        }

        /**
         * Adds or replaces an entry.
         *
         * @param entry the entry
         * @return this builder
         */
        public Builder put(Entry entry) {
            deletes.remove(entry.key());
            puts.put(entry.key(), entry);
            return this;
        }

        /**
         * Adds or replaces entries.
         *
         * @param entries the entries
         * @return this builder
         */
        public Builder putAll(Collection<? extends Entry> entries) {
            entries.forEach(this::put);
            return this;
        }

        /**
         * Deletes an entry.
         *
         * @param key its key, such as {@code caller alpenbau}
         * @return this builder
         */
        public Builder delete(String key) {
            puts.remove(key);
            deletes.add(key);
            return this;
        }

        /**
         * Creates the change.
         *
         * @return the change
         */
        public CatalogueChange build() {
            return new CatalogueChange(changeId, baseVersion, puts, deletes);
        }
    }
}
