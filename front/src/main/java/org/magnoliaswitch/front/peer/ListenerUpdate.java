package org.magnoliaswitch.front.peer;

import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.crash.CrashReport;

/**
 * One message of a listener to the instance that it listens to.
 *
 * @param crashes what it has seen of requests under which servers end
 * @param held what it has of the configuration; absent in messages of an earlier release
 * @param forwarded what it has read itself, if the instance that it listens to seems not to be able
 *     to; only with what it holds
 */
record ListenerUpdate(
    List<CrashReport> crashes, Optional<HeldConfiguration> held, Optional<PeerUpdate> forwarded) {
  ListenerUpdate {
    crashes = List.copyOf(crashes);
    if (forwarded.isPresent() && held.isEmpty()) {
      throw new IllegalArgumentException("what is passed on follows what is held");
    }
  }
}
