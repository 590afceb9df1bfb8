package org.magnoliaswitch.core.platform;

/**
 * One write of a transaction.
 *
 * @param key row key
 * @param expectedVersion version the row must have, 0 for absent
 * @param value new content
 * @param retentionSeconds after which the table service drops the row by itself, 0 for never
 */
public record ConditionalWrite(
    String key, long expectedVersion, String value, long retentionSeconds) {}
