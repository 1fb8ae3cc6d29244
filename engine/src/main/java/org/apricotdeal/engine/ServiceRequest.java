package org.apricotdeal.engine;

import java.util.Map;

import org.apricotdeal.kernel.id.RequestId;

/**
 * A request to a plain service.
 *
 * @param id id of the request
 * @param method HTTP method
 * @param path path and query string
 * @param headers headers to forward
 * @param body body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceRequest(RequestId id, String method, String path, Map<String, String> headers, byte[] body) {}
