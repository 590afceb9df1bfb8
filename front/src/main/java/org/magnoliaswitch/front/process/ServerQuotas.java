package org.magnoliaswitch.front.process;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.RateLimitShare;
import org.magnoliaswitch.front.load.SenderSelection;
import org.magnoliaswitch.front.load.ServerState;

/**
 * What this instance may send to servers that take fewer requests than they could run: while their
 * caches are cold, or because they asked for it; used by one thread.
 */
public final class ServerQuotas {
  /**
   * After this time without a word of its server a limit is put to the test with one request, or an
   * instance without a share would never hear that it has ended.
   */
  private static final long LIMIT_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final RateLimitShare TRIAL = new RateLimitShare(1);

  private final FrontSettings settings;
  private final Clocks clocks;
  private final InstanceCount instances;
  private final ColdServerQuotas coldServers;
  private final ToDoubleFunction<String> part;
  private final ShareCache<Limit, RateLimitShare> shares;

  /** The limit of a server, and the part of its service's servers that each instance sends to. */
  private record Limit(String incarnation, double perSecond, double part) {}

  /**
   * Creates one without limits.
   *
   * @param part share of a service's servers that each instance sends to
   */
  public ServerQuotas(
      FrontSettings settings,
      Clocks clocks,
      InstanceCount instances,
      ColdServerQuotas coldServers,
      ToDoubleFunction<String> part) {
    this.settings = settings;
    this.clocks = clocks;
    this.instances = instances;
    this.coldServers = coldServers;
    this.part = part;
    this.shares = new ShareCache<>(instances, this::share);
  }

  /** Whether a request may be sent to a server now. */
  public boolean allowed(ServerState server) {
    return coldServers.allowed(server) && askedWaitNanos(server) == 0;
  }

  /**
   * Least time until a server that gets nothing now may get a request of this instance; {@link
   * ServerState#NEVER} if that cannot be foreseen.
   */
  public long waitNanos(ServerState server) {
    return coldServers.drawn(server) ? askedWaitNanos(server) : ServerState.NEVER;
  }

  /** The same as far as what the server asked for decides it. */
  private long askedWaitNanos(ServerState server) {
    long pause = server.backpressure().remainingPauseNanos(clocks.nanos());
    return Math.max(pause, limitWaitNanos(server));
  }

  private long limitWaitNanos(ServerState server) {
    OptionalDouble perSecond = server.backpressure().requestsPerSecond();
    if (perSecond.isEmpty()) {
      return 0;
    }
    // An instance that knows of few others would take far too large a share.
    long unsettled = instances.settlesInNanos();
    return unsettled > 0
        ? unsettled
        : server.nanosUntilAllowed(share(server, perSecond.getAsDouble()), clocks.nanos());
  }

  private RateLimitShare share(ServerState server, double perSecond) {
    RateLimitShare share = shares.of(limit(server, perSecond));
    boolean unheard = server.backpressure().limitAgeNanos(clocks.nanos()) > LIMIT_TRIAL_NANOS;
    return unheard && share.maxPerWindow() == 0 ? TRIAL : share;
  }

  private Limit limit(ServerState server, double perSecond) {
    double used = part.applyAsDouble(server.entry().service());
    return new Limit(server.entry().incarnation(), perSecond, used);
  }

  private RateLimitShare share(Limit limit) {
    SenderSelection selection = instances.draw(settings.instance(), limit.incarnation());
    return RateLimitShare.of(limit.perSecond(), selection, limit.part());
  }
}
