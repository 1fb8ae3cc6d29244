package org.apricotdeal.node.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;

/** Finds callers by the hashes of their keys. The catalogue doesn't store the keys themselves. */
final class CallerIndex {
    private static final String SCHEME = "Bearer ";

    private final Map<String, CallerEntry> callersByKeyHash = new HashMap<>();

    CallerIndex(Catalogue catalogue) {
        for (CallerEntry caller : catalogue.all(CallerEntry.class)) {
            callersByKeyHash.put(caller.keySha256(), caller);
        }
    }

    Optional<CallerEntry> find(String authorizationHeader) {
        if (authorizationHeader == null || !authorizationHeader.startsWith(SCHEME)) {
            return Optional.empty();
        }
        return Optional.ofNullable(
                callersByKeyHash.get(CatalogueCodec.keyHash(authorizationHeader.substring(SCHEME.length()))));
    }
}
