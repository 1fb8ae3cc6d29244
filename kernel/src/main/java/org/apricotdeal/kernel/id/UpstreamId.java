package org.apricotdeal.kernel.id;

import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies an upstream in the catalogue: a model or a plain service.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Checks the name. */
    public UpstreamId {
        Names.require(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
