package org.apricotdeal.node.catalogue;

import java.util.Optional;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.policy.spread.SpreadAction;
import org.apricotdeal.policy.spread.SpreadEvent;

/** Reads the catalogue from the platform, at once or when it changes. */
final class CatalogueReader {
    static final String KEY = "/apricotdeal/catalogue";

    private final KeyValueStore store;

    CatalogueReader(KeyValueStore store) {
        this.store = store;
    }

    SpreadEvent read(SpreadAction.QueryPlatform ask) {
        Result<Optional<Versioned>, PlatformError> result =
                ask.waitMillis() == 0 ? store.get(KEY) : store.awaitChange(KEY, ask.afterRevision(), ask.waitMillis());
        return switch (result) {
            case Result.Err<Optional<Versioned>, PlatformError> error -> new SpreadEvent.PlatformFailed(ask.callId());
            case Result.Ok<Optional<Versioned>, PlatformError>(Optional<Versioned> value) -> event(ask, value);
        };
    }

    private static SpreadEvent event(SpreadAction.QueryPlatform ask, Optional<Versioned> value) {
        if (value.isEmpty()) {
            return new SpreadEvent.PlatformCatalogue(ask.callId(), ask.afterRevision(), Optional.empty());
        }
        return switch (CatalogueCodec.decode(value.get().value())) {
            case Result.Err<Catalogue, String> error -> new SpreadEvent.PlatformFailed(ask.callId());
            case Result.Ok<Catalogue, String>(Catalogue catalogue) ->
                new SpreadEvent.PlatformCatalogue(ask.callId(), value.get().revision(), Optional.of(catalogue));
        };
    }
}
