package org.magnoliaswitch.core.version;

import java.util.Map;
import java.util.TreeMap;

/**
 * The list of contents of one configuration version.
 *
 * <p>Parts are addressed by their SHA-256 digest, so that a change of one service moves one
 * manifest and one part between instances instead of everything.
 *
 * @param version rises by one with each accepted change, the first is 1
 * @param changeId names the operator's change, so that a repeated one is recognised
 * @param author who made the change
 * @param note why
 * @param parts path of a declaration, such as {@code services/booking.json}, to its digest in hex
 */
public record Manifest(
    long version, String changeId, String author, String note, Map<String, String> parts) {
  public Manifest {
    parts = new TreeMap<>(parts);
  }
}
