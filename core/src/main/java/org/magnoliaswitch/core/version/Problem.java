package org.magnoliaswitch.core.version;

/**
 * A rule that a declaration or a settings file violates.
 *
 * @param path file and JSON path, such as {@code services/booking.json: servers[2].port}
 * @param found value that violates the rule
 * @param allowed rule that the value violates, such as {@code expected a unique name}
 */
public record Problem(String path, String found, String allowed) {
  @Override
  public String toString() {
    return path + ": " + found + " is not allowed; " + allowed;
  }
}
