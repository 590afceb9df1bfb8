package org.magnoliaswitch.front.peer;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * When one listener is sent an update of the configuration: one at a time, and the next from the
 * version that it has got to by then. Versions that follow each other faster than its link carries
 * them are left out, and never queue up before the newest. Used by one thread.
 */
final class UpdateFlow {
  /** A peer in reserve sends what the listener still lacks after so long. */
  static final long RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final int LAST_RANK = 3;

  private Optional<HeldConfiguration> held = Optional.empty();
  private long underWay;
  private boolean behind;
  private long behindSinceNanos;

  /** Takes what the listener says that it has. */
  void holds(HeldConfiguration next, long nowNanos) {
    boolean advanced = next.version() > heldVersion();
    held = Optional.of(next);
    if (next.lastUpdate() >= underWay || next.version() >= underWay) {
      underWay = 0;
    }
    if (advanced && behind) {
      behindSinceNanos = nowNanos;
    }
  }

  /** Whether the listener has said what it has; one of an earlier release never does. */
  boolean known() {
    return held.isPresent();
  }

  /** Whether the listener lacked something when an update was last looked for. */
  boolean behind() {
    return behind;
  }

  /** Version that the listener has; 0 if none is known. */
  long heldVersion() {
    return held.map(HeldConfiguration::version).orElse(0L);
  }

  /** What is sent first goes to those who pass it on, then to those who get it from nobody else. */
  int rank() {
    return held.map(known -> rank(known.delivery())).orElse(LAST_RANK);
  }

  private static int rank(HeldConfiguration.Delivery delivery) {
    return switch (delivery) {
      case FIRST -> 0;
      case IMMEDIATE -> 1;
      case DEFERRED -> 2;
    };
  }

  /** Whether an update to a version is to be sent now; one that is sent counts as under way. */
  boolean send(long version, long nowNanos) {
    boolean lacks = held.isPresent() && heldVersion() < version;
    if (lacks && !behind) {
      behindSinceNanos = nowNanos;
    }
    behind = lacks;
    if (!lacks || underWay > 0 || !due(nowNanos)) {
      return false;
    }
    underWay = version;
    return true;
  }

  private boolean due(long nowNanos) {
    boolean reserve =
        held.filter(known -> known.delivery() == HeldConfiguration.Delivery.DEFERRED).isPresent();
    return !reserve || nowNanos - behindSinceNanos >= RESERVE_NANOS;
  }
}
