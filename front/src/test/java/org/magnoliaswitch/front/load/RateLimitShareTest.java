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

/** What all instances together send to a server that limits the requests a second it takes. */
public final class RateLimitShareTest {
  private static final int SERVERS = 100;
  private static final double SPAN_SECONDS = 4;

  /** What a server bears in a span beyond its word. */
  private static double borne(double perSecond) {
    return 1.5 * perSecond * SPAN_SECONDS + 5;
  }

  private static SenderSelection draw(int instance, String server, int believed, boolean placed) {
    Optional<InstanceIndex> place =
        placed ? Optional.of(new InstanceIndex(instance, believed)) : Optional.empty();
    return new SenderSelection("front-" + instance, server, believed, place);
  }

  /** Shares of the instances whose part of the servers holds this one. */
  private static int sum(
      String server, int instances, int believed, double part, boolean placed, double perSecond) {
    int sum = 0;
    Random random = new Random(server.hashCode());
    for (int i = 0; i < instances; i++) {
      if (random.nextDouble() < part) {
        SenderSelection draw = draw(i, server, believed, placed && i < believed);
        sum += RateLimitShare.of(perSecond, draw, part).maxPerWindow();
      }
    }
    return sum;
  }

  @DataProvider
  public Object[][] sizes() {
    List<Object[]> rows = new ArrayList<>();
    for (int instances : List.of(2, 3, 5, 13, 17, 18, 97, 150, 300, 1500)) {
      for (double perSecond : List.of(0.0, 0.3, 1.0, 4.6, 8.4, 40.0)) {
        double part = Math.min(1, 13.0 / instances);
        rows.add(new Object[] {instances, perSecond, part, true});
        rows.add(new Object[] {instances, perSecond, part, false});
      }
    }
    return rows.toArray(Object[][]::new);
  }

  /** Guards against shares that add up to more than an overloaded server bears. */
  @Test(dataProvider = "sizes")
  public void sharesAddUpToNoMoreThanIsBorne(
      int instances, double perSecond, double part, boolean placed) {
    for (int i = 0; i < SERVERS; i++) {
      int sum = sum("i-" + i + "@0", instances, instances, part, placed, perSecond);
      assertTrue(sum <= borne(perSecond), sum + " sent");
    }
  }

  /** Guards against a restart of the seeds, which hides every fifth instance for a moment. */
  @Test(dataProvider = "sizes")
  public void aWrongCountIsBorne(int instances, double perSecond, double part, boolean placed) {
    int believed = Math.max(1, (int) (0.8 * instances));
    for (int i = 0; i < SERVERS; i++) {
      int sum = sum("i-" + i + "@0", instances, believed, part, placed, perSecond);
      assertTrue(sum <= borne(perSecond), sum + " sent");
    }
  }

  /** Guards against a limit that is kept by sending next to nothing while callers are refused. */
  @Test
  public void mostOfTheLimitIsUsed() {
    for (double perSecond : List.of(1.0, 4.6, 8.4)) {
      double sent = 0;
      for (int i = 0; i < SERVERS; i++) {
        sent += sum("i-" + i + "@0", 17, 17, 1, true, perSecond);
      }
      assertTrue(sent >= 0.6 * perSecond * SPAN_SECONDS * SERVERS, perSecond + ": " + sent);
    }
  }

  @Test
  public void aServerThatTakesNothingGetsNothing() {
    assertEquals(RateLimitShare.of(0, draw(0, "i@0", 17, true), 1).maxPerWindow(), 0);
  }

  /** Two ways to keep a limit that nobody can ask the others about. */
  public static final class Ways {
    private static final int SEEDS = 20;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long PLAYED_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Calm before callers come, in which a bucket fills. */
    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Each instance holds a bucket of one request that fills at an even part of the limit. */
    private record Buckets(List<TokenBucket> buckets, double perSecond)
        implements Bursts.SendPolicy {
      static Buckets of(int instances, double perSecond) {
        List<TokenBucket> buckets = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
          buckets.add(new TokenBucket(1, 0));
        }
        return new Buckets(buckets, perSecond / instances);
      }

      @Override
      public boolean send(int instance, long nowNanos) {
        return buckets.get(instance).tryTake(perSecond, nowNanos);
      }
    }

    /** Each instance has its share of each span. */
    private record Shares(List<SendWindow> windows, List<RateLimitShare> shares)
        implements Bursts.SendPolicy {
      static Shares of(int instances, double perSecond, String server) {
        List<SendWindow> windows = new ArrayList<>();
        List<RateLimitShare> shares = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
          windows.add(new SendWindow(RateLimitShare.WINDOW_NANOS));
          shares.add(RateLimitShare.of(perSecond, draw(i, server, instances, true), 1));
        }
        return new Shares(windows, shares);
      }

      @Override
      public boolean send(int instance, long nowNanos) {
        SendWindow window = windows.get(instance);
        int most = shares.get(instance).maxPerWindow();
        if (window.size(RateLimitShare.WINDOW_NANOS, nowNanos) >= most) {
          return false;
        }
        window.add(nowNanos);
        return true;
      }
    }

    private static List<Long> play(Bursts.SendPolicy way, int instances) {
      return Bursts.simulate(way, instances, CALM_NANOS, PLAYED_NANOS, STEP_NANOS);
    }

    private static long mostInASpan(List<Long> sends) {
      return Bursts.maxInWindow(sends, RateLimitShare.WINDOW_NANOS);
    }

    @DataProvider
    public Object[][] limits() {
      return new Object[][] {{13, 1.0}, {17, 1.0}, {17, 4.6}, {17, 8.4}};
    }

    /**
     * Guards against what buckets save up: after a calm time every instance sends at once, and a
     * server that takes few requests gets more than it bears.
     */
    @Test(dataProvider = "limits")
    public void sharesKeepTheLimitInEverySpan(int instances, double perSecond) {
      long worst = 0;
      double used = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        List<Long> sends = play(Shares.of(instances, perSecond, "i-" + seed), instances);
        worst = Math.max(worst, mostInASpan(sends));
        used += sends.size() / (TimeUnit.NANOSECONDS.toSeconds(PLAYED_NANOS) * perSecond * SEEDS);
      }
      List<Long> bucketSends = play(Buckets.of(instances, perSecond), instances);
      double bucketUsed =
          bucketSends.size() / (TimeUnit.NANOSECONDS.toSeconds(PLAYED_NANOS) * perSecond);
      System.out.printf(
          "rate-limit: instances=%d limit=%.1f borne=%.1f most_in_a_span buckets=%d shares=%d"
              + " used buckets=%.2f shares=%.2f%n",
          instances,
          perSecond,
          borne(perSecond),
          mostInASpan(bucketSends),
          worst,
          bucketUsed,
          used);
      assertTrue(worst <= borne(perSecond), "shares " + worst);
    }
  }
}
