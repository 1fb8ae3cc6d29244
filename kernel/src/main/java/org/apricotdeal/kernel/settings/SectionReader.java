package org.apricotdeal.kernel.settings;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.message.SourceLocation;
import org.apricotdeal.kernel.misc.Names;

/**
 * Reads typed values from one section. An invalid or missing value is added to the findings and replaced by a default,
 * so that one pass reports all errors. Keys that were never requested are reported by {@link #reportUnknown()}.
 */
public final class SectionReader {
    private final IniSection section;
    private final Findings findings;
    private final Set<String> requestedKeys = new LinkedHashSet<>();

    /**
     * Creates a reader.
     *
     * @param section the section
     * @param findings collects the errors found
     */
    public SectionReader(IniSection section, Findings findings) {
        this.section = section;
        this.findings = findings;
    }

    /**
     * Reads a string.
     *
     * @param key the key
     * @param fallback value if the key is absent; null makes the key required
     * @return the value
     */
    public String text(String key, String fallback) {
        IniValue value = findValue(key, fallback == null, "a text");
        return value == null ? (fallback == null ? "" : fallback) : value.text();
    }

    /**
     * Reads a name that is valid as an identifier.
     *
     * @param key the key
     * @param fallback value if the key is absent; null makes the key required
     * @return the value; {@code unknown} if it is missing or invalid
     */
    public String name(String key, String fallback) {
        String expected =
                "a name of 1 to " + Names.MAX_NAME_CHARS + " letters, digits, dots, dashes, underscores or colons";
        IniValue value = findValue(key, fallback == null, expected);
        String found = value == null ? fallback : value.text();
        if (value != null && !Names.isValid(found)) {
            findings.add(Message.SETTING_INVALID, value.location(), found, expected);
            return "unknown";
        }
        return found == null ? "unknown" : found;
    }

    /**
     * Reads a list of comma-separated names.
     *
     * @param key the key
     * @param fallback values if the key is absent; null makes the key required
     * @return the names in the order of the file
     */
    public List<String> names(String key, List<String> fallback) {
        IniValue value = findValue(key, fallback == null, "names separated by commas");
        if (value == null) {
            return fallback == null ? List.of() : fallback;
        }
        List<String> names = new ArrayList<>();
        for (String part : value.text().split(",", -1)) {
            String name = part.trim();
            if (Names.isValid(name)) {
                names.add(name);
            } else {
                findings.add(Message.SETTING_INVALID, value.location(), name, "names separated by commas");
            }
        }
        return names;
    }

    /**
     * Reads a whole number.
     *
     * @param key the key
     * @param fallback value if the key is absent; null makes the key required
     * @param min smallest valid value
     * @param max largest valid value
     * @return the value
     */
    public long integer(String key, Long fallback, long min, long max) {
        String expected = "a whole number from " + min + " to " + max;
        IniValue value = findValue(key, fallback == null, expected);
        if (value == null) {
            return fallback == null ? min : fallback;
        }
        try {
            long number = Long.parseLong(value.text());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as is a number that is out of range.
        }
        findings.add(Message.SETTING_INVALID, value.location(), value.text(), expected);
        return fallback == null ? min : fallback;
    }

    /**
     * Reads a decimal number.
     *
     * @param key the key
     * @param fallback value if the key is absent; null makes the key required
     * @param min smallest valid value
     * @param max largest valid value
     * @return the value
     */
    public double decimal(String key, Double fallback, double min, double max) {
        String expected = "a number from " + min + " to " + max;
        IniValue value = findValue(key, fallback == null, expected);
        if (value == null) {
            return fallback == null ? min : fallback;
        }
        try {
            double number = Double.parseDouble(value.text());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as is a number that is out of range.
        }
        findings.add(Message.SETTING_INVALID, value.location(), value.text(), expected);
        return fallback == null ? min : fallback;
    }

    /**
     * Reads a boolean, {@code true} or {@code false}.
     *
     * @param key the key
     * @param fallback value if the key is absent
     * @return the value
     */
    public boolean bool(String key, boolean fallback) {
        IniValue value = findValue(key, false, "true or false");
        if (value == null) {
            return fallback;
        }
        if (value.text().equals("true") || value.text().equals("false")) {
            return value.text().equals("true");
        }
        findings.add(Message.SETTING_INVALID, value.location(), value.text(), "true or false");
        return fallback;
    }

    /**
     * Reads a constant of an enum; the file has its name in lower case, with dashes for underscores.
     *
     * @param key the key
     * @param fallback value if the key is absent
     * @param type class of the enum
     * @param <T> type of the enum
     * @return the value
     */
    public <T extends Enum<T>> T enumValue(String key, T fallback, Class<T> type) {
        List<String> words = new ArrayList<>();
        for (T constant : type.getEnumConstants()) {
            words.add(enumWord(constant));
        }
        IniValue value = findValue(key, false, String.join(", ", words));
        if (value == null) {
            return fallback;
        }
        for (T constant : type.getEnumConstants()) {
            if (enumWord(constant).equals(value.text())) {
                return constant;
            }
        }
        findings.add(Message.SETTING_INVALID, value.location(), value.text(), "one of " + String.join(", ", words));
        return fallback;
    }

    /** Reports every key of the section that was not read. */
    public void reportUnknown() {
        for (var entry : section.values().entrySet()) {
            if (!requestedKeys.contains(entry.getKey())) {
                findings.add(Message.SETTING_UNKNOWN, entry.getValue().location(), String.join(", ", requestedKeys));
            }
        }
    }

    /**
     * Returns the location of a key, for findings of checks that involve more than one value.
     *
     * @param key the key
     * @return the key's location, or the section's if the key is absent
     */
    public SourceLocation locationOf(String key) {
        IniValue value = section.values().get(key);
        return value == null ? section.location() : value.location();
    }

    private IniValue findValue(String key, boolean required, String expected) {
        requestedKeys.add(key);
        IniValue value = section.values().get(key);
        if (value == null && required) {
            SourceLocation location = new SourceLocation(
                    section.location().file(), section.location().line(), 0, section.name() + "/" + key);
            findings.add(Message.SETTING_MISSING, location, expected);
        }
        return value;
    }

    private static String enumWord(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
