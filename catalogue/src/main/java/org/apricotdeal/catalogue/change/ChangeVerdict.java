package org.apricotdeal.catalogue.change;

import java.util.List;
import java.util.Set;

import org.apricotdeal.catalogue.diff.EntryDifference;
import org.apricotdeal.kernel.message.Findings;

/** What a change comes to against a given catalogue in force. */
public sealed interface ChangeVerdict {
    /**
     * The change can be written.
     *
     * @param next the value to write
     */
    record Applicable(StoredCatalogue next) implements ChangeVerdict {}

    /**
     * The change has been accepted already.
     *
     * @param version version that it made
     */
    record AlreadyAccepted(long version) implements ChangeVerdict {}

    /**
     * The catalogue in force has all that the change asks for.
     *
     * @param version version in force
     */
    record NothingToDo(long version) implements ChangeVerdict {}

    /**
     * Others have changed the catalogue since the version that the operator saw.
     *
     * @param baseVersion version that the operator saw
     * @param version version in force
     * @param touched keys of all entries that others have touched since
     * @param differing the entries that both touched, from the one in force to the operator's
     */
    record Outdated(long baseVersion, long version, Set<String> touched, List<EntryDifference> differing)
            implements ChangeVerdict {
        /** Copies the collections. */
        public Outdated {
            touched = java.util.Collections.unmodifiableSet(new java.util.TreeSet<>(touched));
            differing = List.copyOf(differing);
        }

        /**
         * Tells whether the change can be carried over to the version in force.
         *
         * @return true where no entry was touched by both sides
         */
        public boolean canRebase() {
            return differing.isEmpty();
        }
    }

    /**
     * It cannot be told what others have changed since the version that the operator saw: that version is too old, or
     * newer than the one in force.
     *
     * @param baseVersion version that the operator saw
     * @param version version in force
     */
    record BaseUnknown(long baseVersion, long version) implements ChangeVerdict {}

    /**
     * The catalogue that the change would make is not valid.
     *
     * @param findings all that is wrong
     */
    record Invalid(Findings findings) implements ChangeVerdict {}
}
