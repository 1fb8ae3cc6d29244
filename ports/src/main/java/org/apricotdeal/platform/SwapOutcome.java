package org.apricotdeal.platform;

import java.util.Optional;

/** What came of a compare-and-swap. */
public sealed interface SwapOutcome {
    /**
     * The value was written.
     *
     * @param revision its revision
     */
    record Swapped(long revision) implements SwapOutcome {}

    /**
     * The key's revision was another; nothing was written.
     *
     * @param current the key's value, or nothing where it does not exist
     */
    record Conflict(Optional<Versioned> current) implements SwapOutcome {}
}
