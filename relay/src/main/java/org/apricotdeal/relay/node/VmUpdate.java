package org.apricotdeal.relay.node;

import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;

/**
 * What a node that follows the store tells a peer of the VM entries.
 *
 * @param after revision after which the changes begin; {@link StoreRevision#NONE} if they are all entries
 * @param changes changes, and the revision up to which they are complete
 */
record VmUpdate(StoreRevision after, WatchStore.Changes changes) {
    boolean isComplete() {
        return !after.isKnown();
    }
}
