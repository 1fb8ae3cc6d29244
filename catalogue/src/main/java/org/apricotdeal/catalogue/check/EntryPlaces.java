package org.apricotdeal.catalogue.check;

import org.apricotdeal.kernel.message.SourceLocation;

/** Tells where the fields of a catalogue's entries stand, for findings. */
public interface EntryPlaces {
    /**
     * Finds the place of a field.
     *
     * @param entryKey key of the entry, such as {@code caller alpenbau}
     * @param field name of the field, or an empty text for the entry as a whole
     * @return the place; the entry's own where the field is not written out
     */
    SourceLocation place(String entryKey, String field);

    /**
     * Tells whether a field holds what its source says; a field that could not be read holds a stand-in value, is reported
     * already and is not checked further.
     *
     * @param entryKey key of the entry
     * @param field name of the field
     * @return false where the field's text was missing or invalid
     */
    default boolean wasRead(String entryKey, String field) {
        return true;
    }

    /**
     * Creates places for a source that has no lines, such as a value of the key-value service.
     *
     * @param source name of the source
     * @return places that give the source, the entry and the field
     */
    static EntryPlaces of(String source) {
        return (entryKey, field) ->
                new SourceLocation(source, 0, 0, field.isEmpty() ? entryKey : entryKey + "/" + field);
    }
}
