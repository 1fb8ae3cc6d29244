package org.apricotdeal.catalogue.diff;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.apricotdeal.catalogue.check.EntryFields;
import org.apricotdeal.catalogue.model.Entry;

/**
 * The entries that differ between two catalogues.
 *
 * @param differences the differing entries, sorted by key
 */
public record CatalogueDiff(List<EntryDifference> differences) {
    /** Copies the list. */
    public CatalogueDiff {
        differences = List.copyOf(differences);
    }

    /**
     * Compares two catalogues.
     *
     * @param before entries of the older catalogue
     * @param after entries of the newer catalogue
     * @return the entries that differ
     */
    public static CatalogueDiff between(Collection<? extends Entry> before, Collection<? extends Entry> after) {
        Map<String, Entry> older = byKey(before);
        Map<String, Entry> newer = byKey(after);
        Set<String> keys = new TreeSet<>(older.keySet());
        keys.addAll(newer.keySet());
        List<EntryDifference> differences = new ArrayList<>();
        for (String key : keys) {
            Entry was = older.get(key);
            Entry is = newer.get(key);
            if (was == null) {
                differences.add(new EntryDifference.Added(is));
            } else if (is == null) {
                differences.add(new EntryDifference.Removed(was));
            } else if (!was.equals(is)) {
                differences.add(new EntryDifference.Changed(was, is, fields(was, is)));
            }
        }
        return new CatalogueDiff(differences);
    }

    /**
     * Tells whether the catalogues are equal.
     *
     * @return true where no entry differs
     */
    public boolean isEmpty() {
        return differences.isEmpty();
    }

    private static Map<String, Entry> byKey(Collection<? extends Entry> entries) {
        Map<String, Entry> byKey = new TreeMap<>();
        entries.forEach(entry -> byKey.put(entry.key(), entry));
        return byKey;
    }

    private static List<FieldDifference> fields(Entry before, Entry after) {
        Map<String, String> older = EntryFields.of(before);
        Map<String, String> newer = EntryFields.of(after);
        List<FieldDifference> differing = new ArrayList<>();
        for (String field : newer.keySet()) {
            if (older.get(field).equals(newer.get(field))) {
                continue;
            }
            differing.add(
                    field.equals(EntryFields.CREDENTIAL_FIELD)
                            ? new FieldDifference(field, "(not shown)", "(not shown)")
                            : new FieldDifference(field, older.get(field), newer.get(field)));
        }
        return differing;
    }
}
