package org.apricotdeal.catalogue.diff;

/**
 * A field that differs between two versions of an entry.
 *
 * @param field the field's name
 * @param before its text in the older version, as people may see it
 * @param after its text in the newer version, as people may see it
 */
public record FieldDifference(String field, String before, String after) {
    @Override
    public String toString() {
        return field + ": " + before + " -> " + after;
    }
}
