package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.Bursts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the rate at which all instances together send requests to a server that limits its requests
 * per second.
 */
public final class RateLimitShareTest {
  private static final int SERVERS = 100;
  private static final double WINDOW_SECONDS = 4;

  /** Requests that a server tolerates in a window beyond its declared limit. */
  private static double tolerated(double perSecond) {
    return 1.5 * perSecond * WINDOW_SECONDS + 5;
  }

  private static SenderSelection selection(
      int instance, String server, int knownInstances, boolean indexed) {
    Optional<InstanceIndex> instanceIndex =
        indexed ? Optional.of(new InstanceIndex(instance, knownInstances)) : Optional.empty();
    return new SenderSelection("front-" + instance, server, knownInstances, instanceIndex);
  }

  /** Sum of the shares of the instances whose subset contains the server. */
  private static int sum(
      String server,
      int instances,
      int knownInstances,
      double subsetShare,
      boolean indexed,
      double perSecond) {
    int sum = 0;
    Random random = new Random(server.hashCode());
    for (int i = 0; i < instances; i++) {
      if (random.nextDouble() < subsetShare) {
        SenderSelection selection =
            selection(i, server, knownInstances, indexed && i < knownInstances);
        sum += RateLimitShare.of(perSecond, selection, subsetShare).maxPerWindow();
      }
    }
    return sum;
  }

  @DataProvider
  public Object[][] sizes() {
    List<Object[]> rows = new ArrayList<>();
    for (int instances : List.of(2, 3, 5, 13, 17, 18, 97, 150, 300, 1500)) {
      for (double perSecond : List.of(0.0, 0.3, 1.0, 4.6, 8.4, 40.0)) {
        double subsetShare = Math.min(1, 13.0 / instances);
        rows.add(new Object[] {instances, perSecond, subsetShare, true});
        rows.add(new Object[] {instances, perSecond, subsetShare, false});
      }
    }
    return rows.toArray(Object[][]::new);
  }

  /** Guards against shares that add up to more than an overloaded server tolerates. */
  @Test(dataProvider = "sizes")
  public void sharesStayWithinTheLimit(
      int instances, double perSecond, double subsetShare, boolean indexed) {
    for (int i = 0; i < SERVERS; i++) {
      int sum = sum("i-" + i + "@0", instances, instances, subsetShare, indexed, perSecond);
      assertTrue(sum <= tolerated(perSecond), sum + " sent");
    }
  }

  /**
   * Guards against overload by a wrong instance count: a restart of the seeds hides every fifth
   * instance for a moment.
   */
  @Test(dataProvider = "sizes")
  public void sharesWithAWrongInstanceCountStayWithinTheLimit(
      int instances, double perSecond, double subsetShare, boolean indexed) {
    int knownInstances = Math.max(1, (int) (0.8 * instances));
    for (int i = 0; i < SERVERS; i++) {
      int sum = sum("i-" + i + "@0", instances, knownInstances, subsetShare, indexed, perSecond);
      assertTrue(sum <= tolerated(perSecond), sum + " sent");
    }
  }

  /** Guards against keeping the limit by sending almost nothing while callers are refused. */
  @Test
  public void mostOfTheLimitIsUsed() {
    for (double perSecond : List.of(1.0, 4.6, 8.4)) {
      double sent = 0;
      for (int i = 0; i < SERVERS; i++) {
        sent += sum("i-" + i + "@0", 17, 17, 1, true, perSecond);
      }
      assertTrue(sent >= 0.6 * perSecond * WINDOW_SECONDS * SERVERS, perSecond + ": " + sent);
    }
  }

  @Test
  public void aLimitOfZeroAllowsNoRequests() {
    assertEquals(RateLimitShare.of(0, selection(0, "i@0", 17, true), 1).maxPerWindow(), 0);
  }

  /** Compares two strategies that keep a limit without coordination between instances. */
  public static final class Strategies {
    private static final int SEEDS = 20;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long SIMULATED_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Idle time before the requests, in which a token bucket refills. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Each instance has a bucket of one token that refills at an equal share of the limit. */
    private record TokenBuckets(List<TokenBucket> buckets, double perSecond)
        implements Bursts.SendPolicy {
      static TokenBuckets of(int instances, double perSecond) {
        List<TokenBucket> buckets = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
          buckets.add(new TokenBucket(1, 0));
        }
        return new TokenBuckets(buckets, perSecond / instances);
      }

      @Override
      public boolean send(int instance, long nowNanos) {
        return buckets.get(instance).tryTake(perSecond, nowNanos);
      }
    }

    /** Each instance has its share of each window. */
    private record WindowShares(List<SendWindow> windows, List<RateLimitShare> shares)
        implements Bursts.SendPolicy {
      static WindowShares of(int instances, double perSecond, String server) {
        List<SendWindow> windows = new ArrayList<>();
        List<RateLimitShare> shares = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
          windows.add(new SendWindow(RateLimitShare.WINDOW_NANOS));
          shares.add(RateLimitShare.of(perSecond, selection(i, server, instances, true), 1));
        }
        return new WindowShares(windows, shares);
      }

      @Override
      public boolean send(int instance, long nowNanos) {
        SendWindow window = windows.get(instance);
        int limit = shares.get(instance).maxPerWindow();
        if (window.count(RateLimitShare.WINDOW_NANOS, nowNanos) >= limit) {
          return false;
        }
        window.add(nowNanos);
        return true;
      }
    }

    private static List<Long> simulate(Bursts.SendPolicy strategy, int instances) {
      return Bursts.simulate(strategy, instances, IDLE_NANOS, SIMULATED_NANOS, STEP_NANOS);
    }

    private static long maxInWindow(List<Long> sends) {
      return Bursts.maxInWindow(sends, RateLimitShare.WINDOW_NANOS);
    }

    @DataProvider
    public Object[][] limits() {
      return new Object[][] {{13, 1.0}, {17, 1.0}, {17, 4.6}, {17, 8.4}};
    }

    /**
     * Guards against capacity that token buckets accumulate: after an idle time every instance
     * sends at once, and a server with a low limit receives more than it tolerates.
     */
    @Test(dataProvider = "limits")
    public void sharesKeepTheLimitInEveryWindow(int instances, double perSecond) {
      long worst = 0;
      double used = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        List<Long> sends = simulate(WindowShares.of(instances, perSecond, "i-" + seed), instances);
        worst = Math.max(worst, maxInWindow(sends));
        used +=
            sends.size() / (TimeUnit.NANOSECONDS.toSeconds(SIMULATED_NANOS) * perSecond * SEEDS);
      }
      List<Long> bucketSends = simulate(TokenBuckets.of(instances, perSecond), instances);
      double bucketUsed =
          bucketSends.size() / (TimeUnit.NANOSECONDS.toSeconds(SIMULATED_NANOS) * perSecond);
      System.out.printf(
          "rate-limit: instances=%d limit=%.1f borne=%.1f most_in_a_span buckets=%d shares=%d"
              + " used buckets=%.2f shares=%.2f%n",
          instances,
          perSecond,
          tolerated(perSecond),
          maxInWindow(bucketSends),
          worst,
          bucketUsed,
          used);
      assertTrue(worst <= tolerated(perSecond), "shares " + worst);
    }
  }
}
