package org.apricotdeal.catalogue.change;

import org.apricotdeal.kernel.message.Findings;

/** How an operator's change ended. */
public sealed interface ChangeOutcome {
    /**
     * The change is in the catalogue.
     *
     * @param version version that it made
     * @param wasRebased whether it was carried over other operators' changes
     * @param wasAcceptedBefore whether it was found accepted, by an earlier call with the same id or by a call whose reply
     *     was lost
     */
    record Accepted(long version, boolean wasRebased, boolean wasAcceptedBefore) implements ChangeOutcome {}

    /**
     * The catalogue in force has all that the change asks for; nothing was written.
     *
     * @param version version in force
     */
    record Unchanged(long version) implements ChangeOutcome {}

    /**
     * Other operators were first; nothing was written.
     *
     * @param outdated what they have changed
     */
    record Lost(ChangeVerdict.Outdated outdated) implements ChangeOutcome {}

    /**
     * The change's base version is too old, or newer than the version in force; nothing was written.
     *
     * @param baseVersion version that the operator saw
     * @param version version in force
     */
    record BaseUnknown(long baseVersion, long version) implements ChangeOutcome {}

    /**
     * The change is not valid, or the stored value cannot be read; nothing was written.
     *
     * @param findings all that is wrong
     */
    record Invalid(Findings findings) implements ChangeOutcome {}

    /**
     * The platform could not be reached in time; certainly nothing was written, and nothing will be.
     *
     * @param detail the last failure, for people
     */
    record NotDone(String detail) implements ChangeOutcome {}

    /**
     * A write got no reply, and what came of it could not be read in time. The same change with the same id can safely be
     * sent again.
     *
     * @param detail the last failure, for people
     */
    record Unknown(String detail) implements ChangeOutcome {}
}
