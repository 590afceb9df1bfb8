package org.magnoliaswitch.front.version;

import java.util.Optional;

/** Update that brings an instance to a configuration version. */
public sealed interface RouteUpdate {
  /** Returns the version that results from the update. */
  long version();

  /** A full configuration. */
  record Full(RouteTable table) implements RouteUpdate {
    @Override
    public long version() {
      return table.version();
    }
  }

  /** The changes since the version that the instance has. */
  record Changes(RouteChanges changes) implements RouteUpdate {
    @Override
    public long version() {
      return changes.version();
    }
  }

  /** Returns the updated configuration; empty if the update does not apply to the given one. */
  default Optional<RouteTable> applyTo(RouteTable current) {
    return switch (this) {
      case Full full -> Optional.of(full.table());
      case Changes changes -> changes.changes().applyTo(current);
    };
  }
}
