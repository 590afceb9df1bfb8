package org.magnoliaswitch.front.version;

import java.util.Set;

/**
 * A team whose callers send requests with its keys.
 *
 * @param name unique among the teams; sent to backend servers
 * @param keys all keys that are valid for it
 * @param quota limit on its requests
 * @param priority rank among teams; 0 is the most urgent, and goes before the priority of a route
 */
public record Team(String name, Set<ApiKey> keys, Quota quota, int priority) {
  /** Checks that the name can be sent as a header, and the rank. */
  public Team {
    // Receivers of a header strip spaces at both ends.
    if (name.isBlank()
        || !name.equals(name.strip())
        || name.chars().anyMatch(c -> c < ' ' || c > '~')) {
      throw new IllegalArgumentException("the team name is empty or no valid header value");
    }
    if (priority < 0) {
      throw new IllegalArgumentException("the priority " + priority + " is negative");
    }
    keys = Set.copyOf(keys);
  }
}
