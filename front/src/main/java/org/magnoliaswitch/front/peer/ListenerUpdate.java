package org.magnoliaswitch.front.peer;

import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.crash.CrashReport;

/**
 * A message from a listener to the instance that it listens to.
 *
 * @param crashes crash reports of the listener, about requests that make servers crash
 * @param held the configuration that the listener holds; absent in messages of an earlier release
 * @param forwarded state that the listener has read from the platform itself, sent when the
 *     instance that it listens to seems unable to read; present only together with {@code held}
 * @param teams what the listener reports of teams; sent only to instances that tell about teams,
 *     and present only together with {@code held}
 */
record ListenerUpdate(
    List<CrashReport> crashes,
    Optional<HeldConfiguration> held,
    Optional<PeerUpdate> forwarded,
    Optional<TeamReport> teams) {
  ListenerUpdate {
    crashes = List.copyOf(crashes);
    if (teams.isPresent() && held.isEmpty()) {
      throw new IllegalArgumentException("a team report requires the held configuration");
    }
    if (forwarded.isPresent() && held.isEmpty()) {
      throw new IllegalArgumentException("a forwarded update requires the held configuration");
    }
  }

  /** Creates a message that reports nothing of teams. */
  ListenerUpdate(
      List<CrashReport> crashes, Optional<HeldConfiguration> held, Optional<PeerUpdate> forwarded) {
    this(crashes, held, forwarded, Optional.empty());
  }
}
