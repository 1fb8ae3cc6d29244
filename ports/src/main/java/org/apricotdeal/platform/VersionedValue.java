package org.apricotdeal.platform;

/**
 * A value of the key-value service with its revision.
 *
 * @param key key of the value
 * @param revision revision of its last write; revisions increase across all keys
 * @param value bytes of the value
 */
@SuppressWarnings("ArrayRecordComponent")
public record VersionedValue(String key, long revision, byte[] value) {}
