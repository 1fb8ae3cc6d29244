package org.apricotdeal.policy.claims;

/**
 * An upstream's answer to a claimed call.
 *
 * @param status HTTP status
 * @param contentType value of the content-type header; empty where there was none
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ClaimAnswer(int status, String contentType, byte[] body) {}
