package org.apricotdeal.relay.policy;

/**
 * Identifies an exchange within the process of a node.
 *
 * @param value number that is unique within the process
 */
public record ExchangeId(long value) {
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
