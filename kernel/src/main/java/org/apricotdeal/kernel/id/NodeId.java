package org.apricotdeal.kernel.id;

import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies one apricotdeal-node process by the name of its entry VM.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record NodeId(String value) implements Comparable<NodeId> {
    /** Checks the name. */
    public NodeId {
        Names.require(value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
