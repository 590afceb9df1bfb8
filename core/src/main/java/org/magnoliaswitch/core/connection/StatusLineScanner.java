package org.magnoliaswitch.core.connection;

/**
 * Finds a status line of HTTP/1.0 or HTTP/1.1 in a body that arrives in parts.
 *
 * <p>The body of a response that breaks off is continued by the next response on its connection.
 */
public final class StatusLineScanner {
  /** A status line up to its status; {@code #} stands for a digit. */
  private static final String STATUS_LINE = "HTTP/1.# ###";

  private static final char DIGIT = '#';

  /** Number of characters of the status line that the last bytes match. */
  private int matched;

  /** Begins a new body. */
  public void reset() {
    matched = 0;
  }

  /** Reads the next byte of the body and returns whether a status line ends with it. */
  public boolean endsWith(byte next) {
    if (matches(next)) {
      matched++;
    } else {
      // No proper suffix of a beginning of the status line is a beginning itself.
      matched = next == STATUS_LINE.charAt(0) ? 1 : 0;
    }
    if (matched < STATUS_LINE.length()) {
      return false;
    }
    matched = 0;
    return true;
  }

  private boolean matches(byte next) {
    char expected = STATUS_LINE.charAt(matched);
    return expected == DIGIT ? next >= '0' && next <= '9' : next == expected;
  }
}
