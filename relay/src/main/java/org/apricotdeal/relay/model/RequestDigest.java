package org.apricotdeal.relay.model;

import java.util.HexFormat;

/**
 * Identifies the content of a request: its method, path, caller and body. A request that is sent again has the same digest.
 *
 * @param route name of the route that matched the request, of which long ones are cut
 * @param high upper 64 bits of the hash
 * @param low lower 64 bits of the hash
 */
public record RequestDigest(String route, long high, long low) implements RequestTrait {
    /** Separates the route from the hash in text; no id of a part of a prompt contains it. */
    private static final char SEPARATOR = '#';

    private static final int MAX_ROUTE_LENGTH = 64;
    private static final int HASH_LENGTH = 32;

    /** Cuts a long name. */
    public RequestDigest {
        route = cut(route);
    }

    /**
     * Returns whether a text is one of a digest, and not the id of a part of a prompt.
     *
     * @param text text of a trait
     * @return true if {@link #parse} may be called
     */
    public static boolean isDigest(String text) {
        return text.indexOf(SEPARATOR) >= 0;
    }

    /**
     * Parses the text that {@link #toString} returns.
     *
     * @param text route and hash
     * @return the digest
     * @throws IllegalArgumentException if the text is not a digest
     */
    public static RequestDigest parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 0 || text.length() - separator - 1 != HASH_LENGTH) {
            throw new IllegalArgumentException("not a request digest: " + text);
        }
        int middle = text.length() - HASH_LENGTH / 2;
        return new RequestDigest(
                text.substring(0, separator),
                HexFormat.fromHexDigitsToLong(text, separator + 1, middle),
                HexFormat.fromHexDigitsToLong(text, middle, text.length()));
    }

    /**
     * Returns whether the digest may be that of a request of a route.
     *
     * @param name name of the route
     * @return true if the name is that of the digest, but for what is cut off
     */
    public boolean isOfRoute(String name) {
        return route.equals(cut(name));
    }

    private static String cut(String name) {
        return name.length() > MAX_ROUTE_LENGTH ? name.substring(0, MAX_ROUTE_LENGTH) : name;
    }

    @Override
    public String toString() {
        HexFormat hex = HexFormat.of();
        return route + SEPARATOR + hex.toHexDigits(high) + hex.toHexDigits(low);
    }
}
