package org.apricotdeal.relay.model;

/**
 * What callers may send and how long they may take.
 *
 * @param maxHeaderBytes longest request line and headers together
 * @param maxBodyBytes longest body
 * @param headerTimeoutMillis longest time for the headers to arrive
 * @param idleTimeoutMillis longest time that a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
