package org.apricotdeal.platform;

/**
 * A value of the key-value service.
 *
 * @param key its key
 * @param revision revision of its last write; grows over all keys
 * @param value the bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record Versioned(String key, long revision, byte[] value) {}
