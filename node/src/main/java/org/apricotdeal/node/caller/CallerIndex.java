package org.apricotdeal.node.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;

/** Finds callers by their keys; the catalogue holds hashes only. */
final class CallerIndex {
    private static final String SCHEME = "Bearer ";

    private final Map<String, CallerEntry> byHash = new HashMap<>();

    CallerIndex(Catalogue catalogue) {
        for (CallerEntry caller : catalogue.all(CallerEntry.class)) {
            byHash.put(caller.keySha256(), caller);
        }
    }

    Optional<CallerEntry> find(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        return Optional.ofNullable(byHash.get(CatalogueCodec.keyHash(authorization.substring(SCHEME.length()))));
    }
}
