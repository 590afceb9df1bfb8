package org.magnoliaswitch.core.operator;

import java.util.Map;

/**
 * A change that an operator asks for.
 *
 * @param baseVersion the version it was made from
 * @param changeId names the change; repeating it is harmless
 * @param author who makes it
 * @param note why
 * @param parts all declarations after the change, path to text
 */
public record ChangeRequest(
    long baseVersion, String changeId, String author, String note, Map<String, String> parts) {}
