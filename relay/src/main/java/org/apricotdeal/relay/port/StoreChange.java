package org.apricotdeal.relay.port;

import org.apricotdeal.platform.VersionedValue;

/** A change that a watch returned. */
public sealed interface StoreChange {
    /**
     * Returns the revision of the store that the change created.
     *
     * @return the revision
     */
    long revision();

    /**
     * A key was written.
     *
     * @param item the key with its new value and revision
     */
    record Written(VersionedValue item) implements StoreChange {
        @Override
        public long revision() {
            return item.revision();
        }
    }

    /**
     * A key was deleted, explicitly or because its lease ended.
     *
     * @param key the deleted key
     * @param revision revision of the deletion
     */
    record Deleted(String key, long revision) implements StoreChange {}
}
