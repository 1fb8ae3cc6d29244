package org.apricotdeal.catalogue.diff;

import java.util.List;

import org.apricotdeal.catalogue.model.Entry;

/** How one entry differs between two catalogues. */
public sealed interface EntryDifference {
    /**
     * Returns the entry's key.
     *
     * @return kind and name
     */
    String key();

    /**
     * Only the newer catalogue has the entry.
     *
     * @param entry the entry
     */
    record Added(Entry entry) implements EntryDifference {
        @Override
        public String key() {
            return entry.key();
        }
    }

    /**
     * Only the older catalogue has the entry.
     *
     * @param entry the entry
     */
    record Removed(Entry entry) implements EntryDifference {
        @Override
        public String key() {
            return entry.key();
        }
    }

    /**
     * Both catalogues have the entry, with different fields.
     *
     * @param before the older entry
     * @param after the newer entry
     * @param fields the fields that differ
     */
    record Changed(Entry before, Entry after, List<FieldDifference> fields) implements EntryDifference {
        /** Copies the list. */
        public Changed {
            fields = List.copyOf(fields);
        }

        @Override
        public String key() {
            return after.key();
        }
    }
}
