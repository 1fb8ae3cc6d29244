package org.apricotdeal.kernel.id;

import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies a request class by its name in the catalogue.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record ClassId(String value) implements Comparable<ClassId> {
    /** Checks the name. */
    public ClassId {
        Names.require(value);
    }

    @Override
    public int compareTo(ClassId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
