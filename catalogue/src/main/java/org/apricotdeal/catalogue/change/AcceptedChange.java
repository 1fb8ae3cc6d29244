package org.apricotdeal.catalogue.change;

import java.util.List;

/**
 * A change that has been accepted.
 *
 * @param changeId id of the change
 * @param version version that it made
 * @param keys keys of the entries that it touched, sorted
 */
public record AcceptedChange(String changeId, long version, List<String> keys) {
    /** Copies the list. */
    public AcceptedChange {
        keys = List.copyOf(keys);
    }
}
