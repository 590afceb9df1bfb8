package org.magnoliaswitch.core.platform;

/**
 * A row of the platform's table.
 *
 * @param key unique key
 * @param version rises with every write; 0 means absent
 * @param value content
 */
public record Row(String key, long version, String value) {}
