package org.apricotdeal.platform;

/** Why a call to the platform gave no answer. */
public sealed interface PlatformError {
    /**
     * Returns a description for people.
     *
     * @return the description
     */
    String detail();

    /**
     * The call certainly had no effect: no connection could be made, or the platform refused it.
     *
     * @param detail description for people
     */
    record NotDone(String detail) implements PlatformError {}

    /**
     * The call may or may not have had its effect.
     *
     * @param detail description for people
     */
    record Unknown(String detail) implements PlatformError {}
}
