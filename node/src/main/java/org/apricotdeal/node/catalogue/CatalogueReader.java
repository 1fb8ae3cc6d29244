package org.apricotdeal.node.catalogue;

import java.util.Optional;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.policy.spread.SpreadAction;
import org.apricotdeal.policy.spread.SpreadEvent;

/** Reads the catalogue from the platform, either at once or after waiting for a change. */
final class CatalogueReader {
    static final String KEY = "/apricotdeal/catalogue";

    private final KeyValueStore store;

    CatalogueReader(KeyValueStore store) {
        this.store = store;
    }

    SpreadEvent read(SpreadAction.QueryPlatform query) {
        Result<Optional<VersionedValue>, PlatformError> result = query.waitMillis() == 0
                ? store.get(KEY)
                : store.awaitChange(KEY, query.afterRevision(), query.waitMillis());
        return switch (result) {
            case Result.Err<Optional<VersionedValue>, PlatformError> error ->
                new SpreadEvent.PlatformFailed(query.callId());
            case Result.Ok<Optional<VersionedValue>, PlatformError>(Optional<VersionedValue> value) ->
                toEvent(query, value);
        };
    }

    private static SpreadEvent toEvent(SpreadAction.QueryPlatform query, Optional<VersionedValue> value) {
        if (value.isEmpty()) {
            return new SpreadEvent.PlatformCatalogue(query.callId(), query.afterRevision(), Optional.empty());
        }
        return switch (CatalogueCodec.decode(value.get().value())) {
            case Result.Err<Catalogue, String> error -> new SpreadEvent.PlatformFailed(query.callId());
            case Result.Ok<Catalogue, String>(Catalogue catalogue) ->
                new SpreadEvent.PlatformCatalogue(query.callId(), value.get().revision(), Optional.of(catalogue));
        };
    }
}
