package org.magnoliaswitch.core.platform;

/**
 * A write of a transaction, applied only if the row has the expected version.
 *
 * @param key row key
 * @param expectedVersion version that the row must have; 0 if it must be absent
 * @param value new content
 * @param retentionSeconds seconds after which the table service deletes the row; 0 for never
 */
public record ConditionalWrite(
    String key, long expectedVersion, String value, long retentionSeconds) {}
