package org.apricotdeal.relay.port;

import org.apricotdeal.platform.Versioned;

/** A change that a watch has seen. */
public sealed interface StoreChange {
    /**
     * A key was written.
     *
     * @param item its new state
     */
    record Written(Versioned item) implements StoreChange {}

    /**
     * A key was deleted, or its lease ended.
     *
     * @param key the key
     * @param revision revision of the deletion
     */
    record Deleted(String key, long revision) implements StoreChange {}
}
