package org.magnoliaswitch.core.process;

import java.util.Map;

/**
 * A complete answer kept for replay.
 *
 * @param status HTTP status
 * @param fields header fields
 * @param body body, in outcome records at most {@link #MAX_BODY} bytes
 */
public record StoredAnswer(int status, Map<String, String> fields, byte[] body) {
  /** Larger bodies of at-most-once requests are kept only in memory, not in outcome records. */
  public static final int MAX_BODY = 16 * 1024;
}
