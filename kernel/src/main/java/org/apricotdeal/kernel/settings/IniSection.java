package org.apricotdeal.kernel.settings;

import java.util.Map;

import org.apricotdeal.kernel.message.SourceLocation;

/**
 * A section of an INI file.
 *
 * @param name the section's name, such as {@code caller alpenbau}
 * @param location location of its header
 * @param values values by key, in the order of the file
 */
public record IniSection(String name, SourceLocation location, Map<String, IniValue> values) {
    /**
     * Returns the first word of the section's name.
     *
     * @return the kind, such as {@code caller}
     */
    public String kind() {
        int space = name.indexOf(' ');
        return space < 0 ? name : name.substring(0, space);
    }

    /**
     * Returns the rest of the section's name after its first word.
     *
     * @return the subject, such as {@code alpenbau}; empty if the name is one word
     */
    public String subject() {
        int space = name.indexOf(' ');
        return space < 0 ? "" : name.substring(space + 1).trim();
    }
}
