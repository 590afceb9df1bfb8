package org.magnoliaswitch.front.version;

import java.util.Optional;

/** What an instance is sent to get to a configuration version. */
public sealed interface RouteUpdate {
  /** Version that it leads to. */
  long version();

  /** The whole configuration. */
  record Full(RouteTable table) implements RouteUpdate {
    @Override
    public long version() {
      return table.version();
    }
  }

  /** What differs from the version that the instance has. */
  record Changes(RouteChanges changes) implements RouteUpdate {
    @Override
    public long version() {
      return changes.version();
    }
  }

  /** The version that it leads to; absent if it does not apply to the given one. */
  default Optional<RouteTable> applyTo(RouteTable current) {
    return switch (this) {
      case Full full -> Optional.of(full.table());
      case Changes changes -> changes.changes().applyTo(current);
    };
  }
}
