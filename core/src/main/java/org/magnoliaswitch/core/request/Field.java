package org.magnoliaswitch.core.request;

import java.util.Locale;
import java.util.Set;

/**
 * One HTTP header field.
 *
 * @param name as received
 * @param value as received
 */
public record Field(String name, String value) {
  /** Hop-by-hop fields (RFC 9110, section 7.6.1) and framing fields. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  /** Whether the field has the given name, ignoring case. */
  public boolean hasName(String other) {
    return name.equalsIgnoreCase(other);
  }

  /** Whether the field applies to one connection only and is not forwarded. */
  public boolean hopByHop() {
    return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
  }
}
