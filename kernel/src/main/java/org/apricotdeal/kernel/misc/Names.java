package org.apricotdeal.kernel.misc;

import java.util.regex.Pattern;

/** Validates the names used as identifiers. */
public final class Names {
    /** Maximum length of a name in characters. */
    public static final int MAX_NAME_CHARS = 128;

    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9._:-]{1," + MAX_NAME_CHARS + "}");

    private Names() {}

    /**
     * Returns whether a text is a valid name.
     *
     * @param text the text, may be null
     * @return true if it consists of 1 to {@value #MAX_NAME_CHARS} letters, digits, dots, dashes, underscores or colons
     */
    public static boolean isValid(String text) {
        return text != null && VALID.matcher(text).matches();
    }

    /**
     * Requires a valid name.
     *
     * @param text the text
     * @return the same text
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static String require(String text) {
        if (!isValid(text)) {
            throw new IllegalArgumentException("not a valid name: " + text);
        }
        return text;
    }
}
