package org.apricotdeal.node.caller;

import java.util.Map;

/**
 * A call to a plain service, as it is sent to the upstream.
 *
 * @param method HTTP method
 * @param path request path without the query
 * @param pathAndQuery request path with the query
 * @param headers headers sent to the upstream, with names in lower case
 * @param body the body; empty if the request has none
 * @param idempotencyKey the caller's idempotency key; empty if the request has none
 * @param hash SHA-256 hash of method, path, query and body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
        String method,
        String path,
        String pathAndQuery,
        Map<String, String> headers,
        byte[] body,
        String idempotencyKey,
        String hash) {}
