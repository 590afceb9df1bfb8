package org.magnoliaswitch.front.version;

/**
 * A key by which a team's requests are recognized. It is a secret, so its string form does not
 * contain it.
 *
 * @param text the key as callers send it
 */
public record ApiKey(String text) {
  /** Checks that callers can send the key. */
  public ApiKey {
    if (text.isEmpty() || text.chars().anyMatch(c -> c <= ' ' || c > '~')) {
      throw new IllegalArgumentException("an API key is empty or contains an invalid character");
    }
  }

  @Override
  public String toString() {
    return "ApiKey[hidden]";
  }
}
