package org.apricotdeal.kernel.message;

/**
 * A problem found in a checked source, with its location.
 *
 * @param message the message
 * @param location where the problem was found
 * @param text the message's text with its arguments filled in
 */
public record Finding(Message message, SourceLocation location, String text) {
    @Override
    public String toString() {
        return location + ": " + message.severity() + " AD" + message.code() + ": " + text;
    }
}
