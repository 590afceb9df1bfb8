package org.magnoliaswitch.front.peer;

import java.util.Optional;
import org.magnoliaswitch.front.version.RouteUpdate;

/**
 * How far a peer's configuration has got.
 *
 * @param version version in force at the peer
 * @param ageMillis how long ago that, and which data centres are evacuated, was known to be the
 *     newest; a peer that waits for changes tells it more often than it reads the servers
 * @param update what leads the listener there; absent if it has that version, if an update is still
 *     on its way, or if another peer sends it
 */
public record ConfigurationUpdate(long version, long ageMillis, Optional<RouteUpdate> update) {}
