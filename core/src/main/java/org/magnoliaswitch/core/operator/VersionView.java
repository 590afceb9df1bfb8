package org.magnoliaswitch.core.operator;

import java.util.SortedMap;

/**
 * A version with its declarations as text.
 *
 * @param version its number, 0 for none
 * @param changeId the change that made it
 * @param author who made it
 * @param note why
 * @param parts path to declaration
 */
public record VersionView(
    long version, String changeId, String author, String note, SortedMap<String, String> parts) {}
