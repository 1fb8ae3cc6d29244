package org.apricotdeal.relay.model;

/**
 * Identifies a part of a prompt. Requests that share a part, such as a system prompt or a document, name the same id.
 *
 * @param value 1 to 128 characters
 */
public record PromptPartId(String value) implements RequestTrait, Comparable<PromptPartId> {
    private static final int MAX_LENGTH = 128;

    /** Checks the length. */
    public PromptPartId {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("a prompt part id has 1 to " + MAX_LENGTH + " characters");
        }
    }

    @Override
    public int compareTo(PromptPartId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
