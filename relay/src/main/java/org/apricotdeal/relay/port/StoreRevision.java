package org.apricotdeal.relay.port;

import java.util.Comparator;

/**
 * A state of the store: the number of its last change, and the incarnation of the store that counted it.
 *
 * <p>A store that is restored from an older copy loses its last changes and gives their numbers out again. It then begins a
 * new incarnation. Numbers of different incarnations are not comparable; whatever is known of a later incarnation is newer.
 *
 * @param incarnation number of the incarnation, which rises by one each time the store is restored; 0 if the store names none
 * @param number number of changes that the store had counted; -1 if unknown
 */
public record StoreRevision(long incarnation, long number) implements Comparable<StoreRevision> {
    /** Earlier than every revision of a store. */
    public static final StoreRevision NONE = new StoreRevision(-1, -1);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::incarnation).thenComparingLong(StoreRevision::number);

    /**
     * Returns whether this is a revision of a store.
     *
     * @return false for {@link #NONE}
     */
    public boolean isKnown() {
        return number >= 0;
    }

    /**
     * Returns whether this is later than another revision.
     *
     * @param other the other revision
     * @return true if its incarnation is later, or its number in the same incarnation
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns whether the numbers of this and another revision are comparable.
     *
     * @param other the other revision
     * @return true if both are of the same incarnation
     */
    public boolean hasIncarnationOf(StoreRevision other) {
        return incarnation == other.incarnation;
    }

    /**
     * Returns the later one of two revisions.
     *
     * @param first a revision
     * @param second another revision
     * @return the later one
     */
    public static StoreRevision latest(StoreRevision first, StoreRevision second) {
        return second.isAfter(first) ? second : first;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return incarnation + ":" + number;
    }
}
