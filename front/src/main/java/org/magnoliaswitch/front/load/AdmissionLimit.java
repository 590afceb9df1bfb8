package org.magnoliaswitch.front.load;

/**
 * Decides whether a server may receive one more request now. Stateless and free of I/O.
 *
 * <p>Load pattern: the instances together receive more requests than the servers can execute, and
 * no instance sees the requests of the others. A server slows down by more than half when its last
 * slots fill, so its throughput is highest with four fifths of them busy. Every request beyond that
 * queues at the server, delays all others and is finally rejected. Requests for which no server has
 * capacity therefore wait at this instance for a moment, or are refused while their callers still
 * have time to retry.
 */
public final class AdmissionLimit {
  /** Share of busy slots above which servers slow down. */
  static final double KNEE = 0.8;

  /** Estimates approach an integer without reaching it; within this difference they count as it. */
  private static final double ROUNDING_TOLERANCE = 0.25;

  /** Share of busy slots up to which late requests are admitted. */
  private static final double LATE_SHARE = 0.6;

  /** Share of slots for late requests while timely requests wait for capacity: one slot of six. */
  private static final double LATE_SHARE_UNDER_PRESSURE = 0.2;

  private AdmissionLimit() {}

  private static double slotShare(PlacementContext context) {
    return switch (context.timeliness()) {
      case IN_TIME -> paysForItsDemand(context) ? LATE_SHARE : KNEE;
      case LATE -> yields(context) ? LATE_SHARE_UNDER_PRESSURE : LATE_SHARE;
    };
  }

  /**
   * Whether the request gives way to those of other teams: its team asks for more than its rate,
   * and others have to wait for capacity.
   */
  private static boolean paysForItsDemand(PlacementContext context) {
    return context.standing() == TeamStanding.OVER_DEMAND && context.load().underPressure();
  }

  private static boolean yields(PlacementContext context) {
    return context.enabled(Mechanism.YIELDING) && context.load().underPressure();
  }

  /**
   * Whether a server has capacity for one more request.
   *
   * <p>A server without a load sample gets one request of this instance at a time, unless its
   * service never reports its load.
   *
   * <p>The limit is a share of the server's slots, rounded down to an integer of at least 1: 0.8
   * for timely requests, 0.6 for late ones, and 0.2 for late ones while timely requests wait for
   * capacity. When every second request returns after a refusal, late requests with the same limit
   * would take the capacity of those that can still be answered in time, until no request is. The
   * limit is lower while timely requests wait because, after a burst, late requests of callers with
   * long timeouts would otherwise occupy half of the slots with answers that arrive too late, and
   * the service would not recover.
   */
  public static boolean hasCapacity(ServerState server, PlacementContext context) {
    if (!context.enabled(Mechanism.KNEE_BOUND)) {
      return true;
    }
    if (!server.hasSample()) {
      // Limits the burst when all instances restart: callers retry at the same moment, and no load
      // is known.
      return !context.load().reportsLoad() || server.inFlight() == 0;
    }
    double limit = Math.max(1, Math.floor(slotShare(context) * server.sample().slots()));
    double outstanding =
        Placement.expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos());
    return outstanding + 1 <= limit + ROUNDING_TOLERANCE;
  }

  /**
   * Whether a server without capacity below the knee should get one more request all the same, in a
   * slot that slows its work down.
   *
   * <p>Load pattern: servers with few slots, all of them busy up to the knee. The knee leaves two
   * slots of six free, which keeps a server fast, but also one of two, which wastes half of the
   * server: with both busy its throughput is higher, although each answer takes longer. The slot is
   * therefore filled if that raises the throughput and the answer is still expected in time.
   */
  public static boolean mayExceedKnee(ServerState server, PlacementContext context) {
    if (!context.enabled(Mechanism.LAST_SLOT)
        || context.timeliness() == Timeliness.LATE
        || paysForItsDemand(context)
        || !server.hasSample()) {
      return false;
    }
    double slots = server.sample().slots();
    double kneeSlots = Math.max(1, Math.floor(KNEE * slots));
    double outstanding =
        Placement.expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos());
    boolean servesMore = slots / Placement.KNEE_FACTOR > kneeSlots;
    boolean slotFree = outstanding + 1 <= slots + ROUNDING_TOLERANCE;
    return servesMore
        && slotFree
        && Placement.predictedNanos(server, context) <= context.allowedNanos();
  }
}
