package org.magnoliaswitch.front.peer;

import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.crash.CrashReport;

/**
 * One message of a listener to the instance that it listens to.
 *
 * @param crashes what it has seen of requests under which servers end
 * @param held what it has of the configuration; absent in messages of an earlier release
 */
record ListenerNews(List<CrashReport> crashes, Optional<HeldConfiguration> held) {
  ListenerNews {
    crashes = List.copyOf(crashes);
  }
}
