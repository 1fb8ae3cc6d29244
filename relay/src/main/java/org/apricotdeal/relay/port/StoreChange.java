package org.apricotdeal.relay.port;

import org.apricotdeal.platform.Versioned;

/** A change that a watch has seen. */
public sealed interface StoreChange {
    /**
     * Returns the store's revision of the change.
     *
     * @return the revision
     */
    long revision();

    /**
     * A key was written.
     *
     * @param item its new state
     */
    record Written(Versioned item) implements StoreChange {
        @Override
        public long revision() {
            return item.revision();
        }
    }

    /**
     * A key was deleted, or its lease ended.
     *
     * @param key the key
     * @param revision revision of the deletion
     */
    record Deleted(String key, long revision) implements StoreChange {}
}
