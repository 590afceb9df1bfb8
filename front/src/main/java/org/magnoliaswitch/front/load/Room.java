package org.magnoliaswitch.front.load;

/**
 * Whether a server should get one more request now; pure.
 *
 * <p>Load pattern: more requests than servers can run, from instances that do not see each other's.
 * A server slows down by more than half when its last slots fill, so it serves most with four
 * fifths of them busy; whatever is sent beyond that waits there, makes all others late, and is in
 * the end rejected. Requests without room wait here for a moment, or are refused while their
 * callers still have time.
 */
public final class Room {
  /** Share of busy slots above which servers slow down. */
  static final double KNEE = 0.8;

  /** Lets estimates that fade towards a whole number count as that number. */
  private static final double ROUNDING = 0.25;

  private Room() {}

  /** Whether a server serves more, and not less, with one more request. */
  public static boolean hasRoom(ServerState server, double meanHeld, long nowNanos) {
    if (!server.hasSample()) {
      return true;
    }
    double limit = Math.max(1, Math.floor(KNEE * server.sample().slots()));
    return Placement.held(server, meanHeld, nowNanos) + 1 <= limit + ROUNDING;
  }
}
