package org.magnoliaswitch.core.operator;

import java.util.Map;

/**
 * A configuration change that an operator requests.
 *
 * @param baseVersion version that the change is based on
 * @param changeId identifies the change, so that a repeated request has no further effect
 * @param author author of the change
 * @param note reason for the change
 * @param parts text of all declarations after the change, by path
 */
public record ChangeRequest(
    long baseVersion, String changeId, String author, String note, Map<String, String> parts) {}
