package org.apricotdeal.kernel.id;

import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies a failure domain: a group of VMs and nodes that a network partition can cut off as a whole from the rest.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    /** Checks the name. */
    public FailureDomainId {
        Names.require(value);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
