package org.magnoliaswitch.core.version;

/**
 * One thing wrong with a declaration or with settings.
 *
 * @param path file and JSON path, such as {@code services/booking.json: servers[2].port}
 * @param found the value that is there
 * @param allowed what may be there
 */
public record Problem(String path, String found, String allowed) {
  @Override
  public String toString() {
    return path + ": " + found + " is not allowed; " + allowed;
  }
}
