package org.apricotdeal.node.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

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
        return Optional.ofNullable(byHash.get(sha256(authorization.substring(SCHEME.length()))));
    }

    static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
        }
    }
}
