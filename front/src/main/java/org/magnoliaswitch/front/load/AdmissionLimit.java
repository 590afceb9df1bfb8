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
public final class AdmissionLimit {
  /** Share of busy slots above which servers slow down. */
  static final double KNEE = 0.8;

  /** Lets estimates that fade towards a whole number count as that number. */
  private static final double ROUNDING = 0.25;

  /** Share of busy slots up to which late requests are taken. */
  private static final double LATE_SHARE = 0.6;

  /** The same while requests that could be in time wait: one slot of six. */
  private static final double LATE_SHARE_PRESSED = 0.2;

  private AdmissionLimit() {}

  private static double share(PlacementContext context) {
    return switch (context.timeliness()) {
      case IN_TIME -> KNEE;
      case LATE -> yields(context) ? LATE_SHARE_PRESSED : LATE_SHARE;
    };
  }

  private static boolean yields(PlacementContext context) {
    return context.enabled(Mechanism.YIELDING) && context.load().underPressure();
  }

  /**
   * Whether a server should get one more request.
   *
   * <p>A server not heard of yet gets one request of this instance at a time, unless its service
   * never tells its load.
   *
   * <p>Late requests leave a slot of each server free. When every second request comes back after a
   * refusal, they would otherwise take the room of those that can still be in time, and soon nobody
   * is in time. While some of those have to wait, late ones get one slot only: after a burst
   * callers with long patience kept half of the slots busy with answers that came too late, and the
   * service did not recover.
   */
  public static boolean hasCapacity(ServerState server, PlacementContext context) {
    if (!context.enabled(Mechanism.KNEE_BOUND)) {
      return true;
    }
    if (!server.hasSample()) {
      // After a restart of all instances everyone's callers return at once and nothing is known.
      return !context.load().reporting() || server.inFlight() == 0;
    }
    double limit = Math.max(1, Math.floor(share(context) * server.sample().slots()));
    double held =
        Placement.expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos());
    return held + 1 <= limit + ROUNDING;
  }

  /**
   * Whether a server without room should get one more request all the same, in a slot that slows
   * its work down.
   *
   * <p>Load pattern: servers with few slots, all of them at work. One slot of six left free keeps a
   * server quick, one of two leaves half of it unused: with both at work it serves more, though
   * each answer takes longer. So the slot is filled if that serves more and the answer is in time.
   */
  public static boolean mayExceedKnee(ServerState server, PlacementContext context) {
    if (!context.enabled(Mechanism.LAST_SLOT)
        || context.timeliness() == Timeliness.LATE
        || !server.hasSample()) {
      return false;
    }
    double slots = server.sample().slots();
    double quick = Math.max(1, Math.floor(KNEE * slots));
    double held =
        Placement.expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos());
    boolean servesMore = slots / Placement.KNEE_FACTOR > quick;
    boolean free = held + 1 <= slots + ROUNDING;
    return servesMore
        && free
        && Placement.predictedNanos(server, context) <= context.allowedNanos();
  }
}
