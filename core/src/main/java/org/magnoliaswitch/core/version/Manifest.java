package org.magnoliaswitch.core.version;

import java.util.Map;
import java.util.TreeMap;

/**
 * Lists the parts of a configuration version.
 *
 * <p>Parts are addressed by their SHA-256 digest, so that after a change of one service only the
 * manifest and the changed part are transferred between instances.
 *
 * @param version version number, incremented with each accepted change; the first is 1
 * @param changeId identifies the operator's change, so that a repeated request for it is recognised
 * @param author author of the change
 * @param note reason for the change
 * @param parts digest of each declaration in hexadecimal, by its path, such as {@code
 *     services/booking.json}
 */
public record Manifest(
    long version, String changeId, String author, String note, Map<String, String> parts) {
  public Manifest {
    parts = new TreeMap<>(parts);
  }
}
