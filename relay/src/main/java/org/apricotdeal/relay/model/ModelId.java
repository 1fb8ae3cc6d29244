package org.apricotdeal.relay.model;

import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies a model of an upstream.
 *
 * @param value name of 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record ModelId(String value) implements Comparable<ModelId> {
    /** Checks the name. */
    public ModelId {
        Names.require(value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
