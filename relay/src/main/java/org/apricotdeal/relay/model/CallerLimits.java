package org.apricotdeal.relay.model;

/**
 * Limits on requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of the body
 * @param headerTimeoutMillis maximum time for the headers to arrive
 * @param idleTimeoutMillis maximum time that a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
