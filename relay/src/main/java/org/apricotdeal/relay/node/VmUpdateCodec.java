package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;
import org.apricotdeal.wire.gen.TRelayVmEntry;
import org.apricotdeal.wire.gen.TRelayVmNews;

/** Converts changes of VM entries to and from the messages that nodes exchange. */
final class VmUpdateCodec {
    private VmUpdateCodec() {}

    static TRelayVmNews encode(VmUpdate update) {
        WatchStore.Changes changes = update.changes();
        List<TRelayVmEntry> entries = new ArrayList<>();
        for (StoreChange change : changes.changes()) {
            entries.add(
                    switch (change) {
                        case StoreChange.Written(VersionedValue item) -> {
                            TRelayVmEntry entry = new TRelayVmEntry(item.key(), item.revision());
                            entry.setValue(item.value());
                            yield entry;
                        }
                        case StoreChange.Deleted(String key, long atRevision) -> new TRelayVmEntry(key, atRevision);
                    });
        }
        TRelayVmNews news = new TRelayVmNews(changes.revision().number(), entries);
        news.setIncarnation(changes.revision().incarnation());
        if (!update.isComplete()) {
            news.setAfterRevision(update.after().number());
        }
        return news;
    }

    static VmUpdate decode(TRelayVmNews update) {
        List<StoreChange> changes = new ArrayList<>();
        for (TRelayVmEntry entry : update.getEntries()) {
            changes.add(
                    entry.isSetValue()
                            ? new StoreChange.Written(
                                    new VersionedValue(entry.getKey(), entry.getRevision(), entry.getValue()))
                            : new StoreChange.Deleted(entry.getKey(), entry.getRevision()));
        }
        long incarnation = update.getIncarnation();
        StoreRevision after = update.isSetAfterRevision()
                ? new StoreRevision(incarnation, update.getAfterRevision())
                : StoreRevision.NONE;
        StoreRevision upToRevision = new StoreRevision(incarnation, update.getUpToRevision());
        return new VmUpdate(after, new WatchStore.Changes(changes, upToRevision));
    }
}
