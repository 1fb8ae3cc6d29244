package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.platform.Versioned;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.WatchStore;
import org.apricotdeal.wire.gen.TRelayVmEntry;
import org.apricotdeal.wire.gen.TRelayVmNews;

/** Converts changes of VM entries to and from the messages that nodes exchange. */
final class VmNews {
    private VmNews() {}

    static TRelayVmNews encode(WatchStore.Changes news) {
        List<TRelayVmEntry> told = new ArrayList<>();
        for (StoreChange change : news.changes()) {
            told.add(
                    switch (change) {
                        case StoreChange.Written(Versioned item) -> {
                            TRelayVmEntry entry = new TRelayVmEntry(item.key(), item.revision());
                            entry.setValue(item.value());
                            yield entry;
                        }
                        case StoreChange.Deleted(String key, long atRevision) -> new TRelayVmEntry(key, atRevision);
                    });
        }
        return new TRelayVmNews(news.revision(), told);
    }

    static WatchStore.Changes decode(TRelayVmNews told) {
        List<StoreChange> changes = new ArrayList<>();
        for (TRelayVmEntry entry : told.getEntries()) {
            changes.add(
                    entry.isSetValue()
                            ? new StoreChange.Written(
                                    new Versioned(entry.getKey(), entry.getRevision(), entry.getValue()))
                            : new StoreChange.Deleted(entry.getKey(), entry.getRevision()));
        }
        return new WatchStore.Changes(changes, told.getUpToRevision());
    }
}
