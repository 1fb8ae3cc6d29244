package org.apricotdeal.kernel.id;

import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies a fabric domain: a group of VMs that share a fast interconnect and can fail together.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record FabricDomainId(String value) implements Comparable<FabricDomainId> {
    /** Checks the name. */
    public FabricDomainId {
        Names.require(value);
    }

    @Override
    public int compareTo(FabricDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
