package org.apricotdeal.catalogue.model;

/** One entry of the catalogue. Each entry has an owner and is identified by its kind and name. */
public sealed interface Entry permits ClassEntry, CallerEntry, ModelEntry, ServiceEntry, PolicyEntry {
    /**
     * Returns the entry's key.
     *
     * @return kind and name, such as {@code caller alpenbau}; equal to its section's name in an INI catalogue
     */
    String key();

    /**
     * Returns who may be asked about the entry.
     *
     * @return name of the owner
     */
    String owner();
}
