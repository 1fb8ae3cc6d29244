package org.apricotdeal.kernel.time;

/** Source of time. State machines do not read it; they are given the current time as an argument. */
public interface Clock {
    /**
     * Returns monotonic time.
     *
     * @return milliseconds since an arbitrary origin, never decreasing
     */
    long monotonicMillis();

    /**
     * Returns the time of day.
     *
     * @return milliseconds since 1970-01-01 UTC
     */
    long wallMillis();
}
