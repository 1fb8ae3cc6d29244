package org.apricotdeal.policy.claims;

/**
 * An upstream's answer to a claimed call.
 *
 * @param status HTTP status code
 * @param contentType value of the content-type header; empty if there was none
 * @param body complete response body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ClaimAnswer(int status, String contentType, byte[] body) {}
