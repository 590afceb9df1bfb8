package org.magnoliaswitch.front.peer;

import java.util.Optional;
import org.magnoliaswitch.front.version.RouteUpdate;

/**
 * How far a peer's configuration has got.
 *
 * @param version version in force at the peer
 * @param update what leads the listener there; absent if it has that version, if an update is still
 *     on its way, or if another peer sends it
 */
public record ConfigurationNews(long version, Optional<RouteUpdate> update) {}
