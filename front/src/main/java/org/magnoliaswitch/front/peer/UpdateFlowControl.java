package org.magnoliaswitch.front.peer;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when to send configuration updates to one listener. Only one update is in flight at a
 * time, and the next one starts from the version that the listener has reached by then. Versions
 * that follow each other faster than the link can carry them are skipped, so that they never queue
 * up ahead of the newest. Not thread-safe.
 */
final class UpdateFlowControl {
  /** Time that a listener may lag behind before it is sent updates that it wants deferred. */
  static final long DEFERRED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final int LAST_IN_ORDER = 3;

  private Optional<HeldConfiguration> held = Optional.empty();
  private long inFlightVersion;
  private boolean behind;
  private long behindSinceNanos;

  /** Records the configuration that the listener reports to hold. */
  void acknowledged(HeldConfiguration acknowledged, long nowNanos) {
    boolean advanced = acknowledged.version() > heldVersion();
    held = Optional.of(acknowledged);
    if (acknowledged.lastUpdate() >= inFlightVersion || acknowledged.version() >= inFlightVersion) {
      inFlightVersion = 0;
    }
    if (advanced && behind) {
      behindSinceNanos = nowNanos;
    }
  }

  /** Whether the listener has reported what it holds; one of an earlier release never does. */
  boolean hasAcknowledged() {
    return held.isPresent();
  }

  /** Whether the listener's version was outdated when an update was last considered. */
  boolean behind() {
    return behind;
  }

  /** Version that the listener holds; 0 if unknown. */
  long heldVersion() {
    return held.map(HeldConfiguration::version).orElse(0L);
  }

  /**
   * Position of the listener's delivery class when several listeners are sent updates: first those
   * that forward the update, then those that rely on this instance for it.
   */
  int sendOrder() {
    return held.map(configuration -> sendOrder(configuration.delivery())).orElse(LAST_IN_ORDER);
  }

  private static int sendOrder(HeldConfiguration.Delivery delivery) {
    return switch (delivery) {
      case FIRST -> 0;
      case IMMEDIATE -> 1;
      case DEFERRED -> 2;
    };
  }

  /** Whether to send an update to a version now; if so, the update counts as in flight. */
  boolean startUpdate(long version, long nowNanos) {
    boolean outdated = held.isPresent() && heldVersion() < version;
    if (outdated && !behind) {
      behindSinceNanos = nowNanos;
    }
    behind = outdated;
    if (!outdated || inFlightVersion > 0 || !due(nowNanos)) {
      return false;
    }
    inFlightVersion = version;
    return true;
  }

  private boolean due(long nowNanos) {
    boolean deferred =
        held.filter(
                configuration -> configuration.delivery() == HeldConfiguration.Delivery.DEFERRED)
            .isPresent();
    return !deferred || nowNanos - behindSinceNanos >= DEFERRED_DELAY_NANOS;
  }
}
