package org.magnoliaswitch.front.peer;

import java.util.Optional;
import org.magnoliaswitch.front.version.RouteUpdate;

/**
 * A peer's configuration version, its age and an update to it.
 *
 * @param version version in force at the peer
 * @param ageMillis time since this version and the evacuated data centres were confirmed to be the
 *     newest; kept apart from the age of the whole update because a peer that waits for changes
 *     confirms the configuration more often than it reads the server list
 * @param update update from the listener's version to the peer's version; absent if the listener
 *     already has that version, if an update is still in flight, or if another peer sends it
 */
public record ConfigurationUpdate(long version, long ageMillis, Optional<RouteUpdate> update) {}
