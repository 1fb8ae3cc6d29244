package org.apricotdeal.platform;

/** Failure of a call to the platform. */
public sealed interface PlatformError {
    /**
     * Returns a description of the failure.
     *
     * @return human-readable description
     */
    String detail();

    /**
     * The call had no effect: no connection could be made, or the platform rejected it.
     *
     * @param detail human-readable description
     */
    record NotDone(String detail) implements PlatformError {}

    /**
     * The outcome is unknown: the call may or may not have taken effect.
     *
     * @param detail human-readable description
     */
    record Unknown(String detail) implements PlatformError {}
}
