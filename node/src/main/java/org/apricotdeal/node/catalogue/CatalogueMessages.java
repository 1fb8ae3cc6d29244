package org.apricotdeal.node.catalogue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.policy.spread.CatalogueChange;
import org.apricotdeal.wire.gen.TCatalogue;
import org.apricotdeal.wire.gen.TCatalogueEntry;

/** Converts between catalogue changes and peer messages. */
final class CatalogueMessages {
    private CatalogueMessages() {}

    static TCatalogue toWire(CatalogueChange change) {
        List<TCatalogueEntry> entries = new ArrayList<>();
        for (Map.Entry<String, Optional<Entry>> changed : change.entries().entrySet()) {
            TCatalogueEntry entry = new TCatalogueEntry(changed.getKey());
            if (changed.getValue().isPresent()) {
                byte[] json = CatalogueCodec.encodeEntry(changed.getValue().get());
                entry.setJson(new String(json, StandardCharsets.UTF_8));
            }
            entries.add(entry);
        }
        return new TCatalogue(
                change.version(),
                change.changeId(),
                change.baseVersion(),
                entries,
                change.digest(),
                change.platformRevision());
    }

    static Result<CatalogueChange, String> fromWire(TCatalogue message) {
        Map<String, Optional<Entry>> entries = new TreeMap<>();
        for (TCatalogueEntry changed : message.getEntries()) {
            if (!changed.isSetJson()) {
                entries.put(changed.getKey(), Optional.empty());
                continue;
            }
            switch (CatalogueCodec.decodeEntry(changed.getJson().getBytes(StandardCharsets.UTF_8))) {
                case Result.Ok<Entry, String>(Entry entry) -> entries.put(changed.getKey(), Optional.of(entry));
                case Result.Err<Entry, String>(String detail) -> {
                    return Result.err(changed.getKey() + ": " + detail);
                }
            }
        }
        return Result.ok(new CatalogueChange(
                message.getVersion(),
                message.getChangeId(),
                message.getBaseVersion(),
                message.getPlatformRevision(),
                entries,
                message.getDigest()));
    }
}
