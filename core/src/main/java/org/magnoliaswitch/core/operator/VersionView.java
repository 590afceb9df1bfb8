package org.magnoliaswitch.core.operator;

import java.util.SortedMap;

/**
 * A configuration version with its declarations as text.
 *
 * @param version version number; 0 if there is no version
 * @param changeId id of the change that created the version
 * @param author author of the change
 * @param note reason for the change
 * @param parts text of each declaration by its path
 */
public record VersionView(
    long version, String changeId, String author, String note, SortedMap<String, String> parts) {}
