package org.magnoliaswitch.front.peer;

import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.RouteTable;

/**
 * A message from an instance to its listeners.
 *
 * @param ageMillis time since the platform confirmed the sender's state; it keeps growing while the
 *     state is forwarded, so that state circulating between instances never looks fresh
 * @param instances number of instances that the sender knows of, itself included
 * @param routes the sender's full configuration if it changed since its last message; only in
 *     messages to and from instances of an earlier release
 * @param servers changes of the sender's server list since its last message
 * @param evacuations the evacuated data centres
 * @param crashes new crash reports, about requests that make servers crash
 * @param instanceIndex the receiver's index among the sender and its listeners; in an update that a
 *     listener forwards, the listener's own index
 * @param configuration the sender's configuration; absent in messages of an earlier release, and
 *     present only together with an index
 * @param teams what the sender, as a seed, tells about teams; absent while there are none, and
 *     present only together with a configuration
 */
public record PeerUpdate(
    long ageMillis,
    int instances,
    Optional<RouteTable> routes,
    ServerChanges servers,
    Evacuations evacuations,
    List<CrashReport> crashes,
    Optional<InstanceIndex> instanceIndex,
    Optional<ConfigurationUpdate> configuration,
    Optional<TeamNews> teams) {
  public PeerUpdate {
    if (configuration.isPresent() && instanceIndex.isEmpty()) {
      throw new IllegalArgumentException("a configuration requires an instance index");
    }
    crashes = List.copyOf(crashes);
  }

  /** Creates a message that tells nothing about teams. */
  public PeerUpdate(
      long ageMillis,
      int instances,
      Optional<RouteTable> routes,
      ServerChanges servers,
      Evacuations evacuations,
      List<CrashReport> crashes,
      Optional<InstanceIndex> instanceIndex,
      Optional<ConfigurationUpdate> configuration) {
    this(
        ageMillis,
        instances,
        routes,
        servers,
        evacuations,
        crashes,
        instanceIndex,
        configuration,
        Optional.empty());
  }
}
