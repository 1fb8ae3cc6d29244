package org.apricotdeal.node.caller;

import java.util.Map;

/**
 * A call to a plain service as it is passed on.
 *
 * @param method HTTP method
 * @param path path without query
 * @param pathAndQuery path with query
 * @param headers headers that are passed on, names in lower case
 * @param bytes the body, empty where none
 * @param idempotencyKey the caller's idempotency key; empty where none
 * @param hash hash of method, path, query and body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallBody(
        String method,
        String path,
        String pathAndQuery,
        Map<String, String> headers,
        byte[] bytes,
        String idempotencyKey,
        String hash) {}
