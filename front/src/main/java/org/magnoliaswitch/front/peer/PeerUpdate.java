package org.magnoliaswitch.front.peer;

import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.RouteTable;

/**
 * One message of an instance to those that listen to it.
 *
 * @param ageMillis how long ago the sender's knowledge was confirmed by the platform; grows when it
 *     is passed on, so news that circle between instances never look fresh
 * @param instances how many instances the sender knows of, itself included
 * @param routes the sender's whole configuration when it changed since its last message, in
 *     messages to and from instances of an earlier release
 * @param servers what changed in the sender's list since its last message
 * @param evacuations the evacuated data centres
 * @param crashes what is new about requests under which servers end
 * @param instanceIndex the listener's place among all that listen to the sender
 * @param configuration the sender's configuration; absent in messages of an earlier release. Only
 *     with a place
 */
public record PeerUpdate(
    long ageMillis,
    int instances,
    Optional<RouteTable> routes,
    ServerChanges servers,
    Evacuations evacuations,
    List<CrashReport> crashes,
    Optional<InstanceIndex> instanceIndex,
    Optional<ConfigurationUpdate> configuration) {
  public PeerUpdate {
    if (configuration.isPresent() && instanceIndex.isEmpty()) {
      throw new IllegalArgumentException("a configuration follows a place");
    }
    crashes = List.copyOf(crashes);
  }
}
