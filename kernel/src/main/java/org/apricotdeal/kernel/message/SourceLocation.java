package org.apricotdeal.kernel.message;

/**
 * Position in a settings file or another source that a finding refers to.
 *
 * @param file name of the file or other source
 * @param line line number from 1, or 0 if none applies
 * @param column column number from 1, or 0 if none applies
 * @param key section and key, such as {@code caller alpenbau/weight}; empty if none applies
 */
public record SourceLocation(String file, int line, int column, String key) {
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file);
        if (line > 0) {
            text.append(':').append(line);
        }
        if (column > 0) {
            text.append(':').append(column);
        }
        if (!key.isEmpty()) {
            text.append(": ").append(key);
        }
        return text.toString();
    }
}
