package org.magnoliaswitch.core.platform;

/**
 * A row of the platform's table.
 *
 * @param key unique key
 * @param version incremented with every write; 0 if the row is absent
 * @param value content
 */
public record Row(String key, long version, String value) {}
