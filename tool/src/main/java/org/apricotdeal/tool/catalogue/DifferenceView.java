package org.apricotdeal.tool.catalogue;

import java.util.List;

import org.apricotdeal.catalogue.diff.EntryDifference;
import org.apricotdeal.catalogue.diff.FieldDifference;

/**
 * A difference as JSON.
 *
 * @param entry key of the entry
 * @param kind added, removed or changed
 * @param fields the fields that differ
 */
record DifferenceView(String entry, String kind, List<FieldDifference> fields) {
    static List<DifferenceView> of(List<EntryDifference> differences) {
        return differences.stream().map(DifferenceView::of).toList();
    }

    private static DifferenceView of(EntryDifference difference) {
        return switch (difference) {
            case EntryDifference.Added added -> new DifferenceView(added.key(), "added", List.of());
            case EntryDifference.Removed removed -> new DifferenceView(removed.key(), "removed", List.of());
            case EntryDifference.Changed changed -> new DifferenceView(changed.key(), "changed", changed.fields());
        };
    }
}
