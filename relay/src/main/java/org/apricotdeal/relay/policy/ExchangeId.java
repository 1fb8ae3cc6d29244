package org.apricotdeal.relay.policy;

/**
 * Identifies an exchange within a node's process.
 *
 * @param value number, unique in the process
 */
public record ExchangeId(long value) {
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
