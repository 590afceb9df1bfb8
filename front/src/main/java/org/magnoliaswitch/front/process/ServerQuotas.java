package org.magnoliaswitch.front.process;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.RateLimitShare;
import org.magnoliaswitch.front.load.SenderSelection;
import org.magnoliaswitch.front.load.ServerState;

/**
 * Limits the requests of this instance to servers that accept fewer requests than they have slots
 * for, because their caches are cold or because they asked for it; used by one thread.
 */
public final class ServerQuotas {
  /**
   * A limit that its server has not repeated for this time is tested with one request in each
   * window of {@link RateLimitShare#WINDOW_NANOS}. Otherwise an instance without a share would
   * never notice that the limit has been lifted.
   */
  private static final long LIMIT_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final RateLimitShare TRIAL = new RateLimitShare(1);

  private final FrontSettings settings;
  private final Clocks clocks;
  private final InstanceCount instances;
  private final ColdServerQuotas coldServers;
  private final ToDoubleFunction<String> subsetShare;
  private final ShareCache<Limit, RateLimitShare> shares;

  /**
   * What a share depends on: the limit of a server, and the share of its service's servers that
   * each instance sends to.
   */
  private record Limit(String incarnation, double perSecond, double subsetShare) {}

  /**
   * Creates quotas without limits.
   *
   * @param subsetShare returns the share of a service's servers that each instance sends to
   */
  public ServerQuotas(
      FrontSettings settings,
      Clocks clocks,
      InstanceCount instances,
      ColdServerQuotas coldServers,
      ToDoubleFunction<String> subsetShare) {
    this.settings = settings;
    this.clocks = clocks;
    this.instances = instances;
    this.coldServers = coldServers;
    this.subsetShare = subsetShare;
    this.shares = new ShareCache<>(instances, this::share);
  }

  /** Whether this instance may send a request to a server now. */
  public boolean allowed(ServerState server) {
    return coldServers.allowed(server) && requestedWaitNanos(server) == 0;
  }

  /**
   * Returns the minimum time until this instance may send a request to a server that is blocked
   * now. It covers the limit and the pause that the server has requested, but not the warm-up
   * limits of its service, so it may be 0. It is {@link ServerState#NEVER} if this instance has no
   * share of the requested limit, or if the service has warm-up limits and this instance is not
   * selected as a sender to the server, even if the server is warm.
   */
  public long waitNanos(ServerState server) {
    return coldServers.selected(server) ? requestedWaitNanos(server) : ServerState.NEVER;
  }

  /**
   * Returns the minimum time until the limit and the pause that a server has requested permit a
   * request; {@link ServerState#NEVER} if this instance has no share of the limit.
   */
  private long requestedWaitNanos(ServerState server) {
    long pause = server.backpressure().remainingPauseNanos(clocks.nanos());
    return Math.max(pause, limitWaitNanos(server));
  }

  private long limitWaitNanos(ServerState server) {
    OptionalDouble perSecond = server.backpressure().requestsPerSecond();
    if (perSecond.isEmpty()) {
      return 0;
    }
    // An instance that knows only a few others yet would compute far too large a share.
    long unsettled = instances.untilSettledNanos();
    return unsettled > 0
        ? unsettled
        : server.nanosUntilAllowed(share(server, perSecond.getAsDouble()), clocks.nanos());
  }

  private RateLimitShare share(ServerState server, double perSecond) {
    RateLimitShare share = shares.get(limit(server, perSecond));
    boolean unconfirmed = server.backpressure().limitAgeNanos(clocks.nanos()) > LIMIT_TRIAL_NANOS;
    return unconfirmed && share.maxPerWindow() == 0 ? TRIAL : share;
  }

  private Limit limit(ServerState server, double perSecond) {
    double used = subsetShare.applyAsDouble(server.entry().service());
    return new Limit(server.entry().incarnation(), perSecond, used);
  }

  private RateLimitShare share(Limit limit) {
    SenderSelection selection = instances.selectSenders(settings.instance(), limit.incarnation());
    return RateLimitShare.of(limit.perSecond(), selection, limit.subsetShare());
  }
}
