package org.magnoliaswitch.core.version;

/**
 * A rule that a declaration or a settings file violates.
 *
 * @param path file and JSON path, such as {@code services/booking.json: servers[2].port}
 * @param found value that violates the rule
 * @param allowed values that the rule allows, as a noun phrase
 */
public record Problem(String path, String found, String allowed) {
  @Override
  public String toString() {
    return path + ": " + found + " is not allowed; expected " + allowed;
  }
}
