package org.apricotdeal.relay.node;

import java.util.OptionalLong;

/** Parses the delay of a {@code Retry-After} header. */
final class RetryAfter {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Limit of what a VM may ask for, so that a wrong value does not exclude it for good. */
    private static final double MAX_SECONDS = 600;

    private RetryAfter() {}

    /** Returns the delay of a header in seconds, which may have decimals; empty if there is none or it is invalid. */
    static OptionalLong parseMillis(String header) {
        if (header == null) {
            return OptionalLong.empty();
        }
        try {
            double seconds = Double.parseDouble(header.trim());
            return seconds > 0
                    ? OptionalLong.of(Math.round(Math.min(seconds, MAX_SECONDS) * MILLIS_PER_SECOND))
                    : OptionalLong.empty();
        } catch (NumberFormatException e) {
            // The other form of the header is a date, which VMs do not use.
            return OptionalLong.empty();
        }
    }
}
