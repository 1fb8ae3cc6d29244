package org.apricotdeal.kernel.id;

import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies a caller by its name in the catalogue.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record CallerId(String value) implements Comparable<CallerId> {
    /** Checks the name. */
    public CallerId {
        Names.require(value);
    }

    @Override
    public int compareTo(CallerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
