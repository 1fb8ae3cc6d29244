package org.apricotdeal.platform;

import java.util.Optional;

/** Outcome of a compare-and-swap or compare-and-delete. */
public sealed interface SwapOutcome {
    /**
     * The revision matched, and the write was done.
     *
     * @param revision revision of the write
     */
    record Swapped(long revision) implements SwapOutcome {}

    /**
     * The key had a different revision; nothing was written.
     *
     * @param current the key's current value; empty if the key does not exist
     */
    record Conflict(Optional<VersionedValue> current) implements SwapOutcome {}
}
