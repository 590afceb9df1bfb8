package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.Bursts;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the rate at which all instances together send requests to a cold server. */
public final class ColdShareTest {
  private static final Warmup WARMUP = new Warmup(TimeUnit.SECONDS.toNanos(3), 2.6);
  private static final ColdShare.Bounds BOUNDS = new ColdShare.Bounds(1.5, 8);

  /** Requests that a cold server can sustain in any second, including all of the slack. */
  private static final double MAX_PER_SECOND = 2.6 * 1.5 + 8;

  private static final int SERVERS = 200;

  private static final Optional<InstanceIndex> NO_INDEX = Optional.empty();

  private static int sumOfShares(String server, int instances, int knownInstances) {
    int sum = 0;
    for (int i = 0; i < instances; i++) {
      sum +=
          ColdShare.of(
                  WARMUP,
                  BOUNDS,
                  new SenderSelection("front-" + i, server, knownInstances, NO_INDEX))
              .maxPerSecond();
    }
    return sum;
  }

  private static List<Integer> sums(int instances, int knownInstances) {
    List<Integer> sums = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      sums.add(sumOfShares("i-" + i + "@0", instances, knownInstances));
    }
    return sums;
  }

  private static int max(List<Integer> sums) {
    return sums.stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1}, {2}, {5}, {7}, {8}, {18}, {100}, {300}, {1500}};
  }

  /**
   * Guards against overloading cold servers. The servers of a data centre restart cold in a burst,
   * and every instance has requests for them; the shares must add up to no more than a server can
   * sustain, whatever the number of instances.
   */
  @Test(dataProvider = "sizes")
  public void sharesOfAllInstancesStayWithinTheLimit(int instances) {
    assertTrue(max(sums(instances, instances)) <= MAX_PER_SECOND);
  }

  /**
   * Guards against overload by a wrong instance count: a restart of the seeds hides every fifth
   * instance for a moment.
   */
  @Test(dataProvider = "sizes")
  public void sharesWithAWrongInstanceCountStayWithinTheLimit(int instances) {
    int knownInstances = Math.max(1, (int) (0.8 * instances));
    assertTrue(max(sums(instances, knownInstances)) <= MAX_PER_SECOND);
  }

  /** A cold server without a sender is lost capacity. */
  @Test(dataProvider = "sizes")
  public void mostColdServersHaveASender(int instances) {
    long without = sums(instances, instances).stream().filter(sum -> sum == 0).count();
    assertTrue(without <= 0.1 * SERVERS, without + " of " + SERVERS);
  }

  @Test
  public void aServiceThatDeclaresNothingIsNotLimited() {
    ColdShare share =
        ColdShare.of(Warmup.UNLIMITED, BOUNDS, new SenderSelection("a", "i@0", 100, NO_INDEX));
    assertEquals(share.maxPerSecond(), Integer.MAX_VALUE);
  }

  /** Instances that have an index from a seed. */
  public static final class Indexed {
    private static final int INSTANCES = 97;

    private static int share(String server, int index, int count) {
      Optional<InstanceIndex> instanceIndex = Optional.of(new InstanceIndex(index, count));
      return ColdShare.of(
              WARMUP, BOUNDS, new SenderSelection("front", server, count, instanceIndex))
          .maxPerSecond();
    }

    /** Requests per second of the instances with the given indexes. */
    private static int sum(String server, List<Integer> indexes) {
      return indexes.stream().mapToInt(index -> share(server, index, INSTANCES)).sum();
    }

    private static List<Integer> shuffled(long seed) {
      List<Integer> indexes = new ArrayList<>();
      for (int i = 0; i < INSTANCES; i++) {
        indexes.add(i);
      }
      Collections.shuffle(indexes, new Random(seed));
      return indexes;
    }

    /**
     * Guards against unused cold servers after the restart of a data centre. With senders selected
     * by name, a server has three senders on average and some servers have none, so callers are
     * refused although servers could sustain twice as many requests.
     */
    @Test
    public void eachColdServerHasTheMaximumNumberOfSenders() {
      for (int i = 0; i < SERVERS; i++) {
        assertEquals(sum("i-" + i + "@0", shuffled(0)), 5);
      }
    }

    /**
     * Guards against too many senders during a failover. The first seed crashes, and instances
     * switch to the next seed one after the other. Some have their indexes from the first seed and
     * some from the second; together they must not exceed what a cold server can sustain.
     */
    @Test
    public void indexesOfTwoSeedsTogetherStayWithinTheLimit() {
      List<Integer> first = shuffled(1);
      List<Integer> second = shuffled(2);
      for (int i = 0; i < SERVERS; i++) {
        String server = "i-" + i + "@0";
        for (int switched = 0; switched <= INSTANCES; switched += 8) {
          int all =
              sum(server, first.subList(switched, INSTANCES))
                  + sum(server, second.subList(0, switched));
          assertTrue(all <= MAX_PER_SECOND, server + " got " + all);
        }
      }
    }

    /** Two thirds of the instances have no index yet, because they have just started. */
    @Test
    public void indexedAndUnindexedInstancesTogetherStayWithinTheLimit() {
      for (int i = 0; i < SERVERS; i++) {
        String server = "i-" + i + "@0";
        int selectedByName = 0;
        for (int k = 0; k < 2 * INSTANCES / 3; k++) {
          selectedByName +=
              ColdShare.of(
                      WARMUP,
                      BOUNDS,
                      new SenderSelection("front-" + k, server, INSTANCES, NO_INDEX))
                  .maxPerSecond();
        }
        int all = selectedByName + sum(server, shuffled(3).subList(0, INSTANCES / 3));
        assertTrue(all <= MAX_PER_SECOND, server + " got " + all);
      }
    }

    /** A service that sustains one request per second while cold must have a sender. */
    @Test
    public void aServerWithALimitOfOneRequestPerSecondHasASender() {
      Warmup one = new Warmup(TimeUnit.SECONDS.toNanos(3), 1);
      int senders = 0;
      for (int index = 0; index < INSTANCES; index++) {
        Optional<InstanceIndex> instanceIndex = Optional.of(new InstanceIndex(index, INSTANCES));
        senders +=
            ColdShare.of(
                    one,
                    ColdShare.Bounds.NONE,
                    new SenderSelection("a", "i@0", INSTANCES, instanceIndex))
                .maxPerSecond();
      }
      assertEquals(senders, 1);
    }
  }

  /** Compares two strategies that keep a limit without coordination between instances. */
  public static final class Strategies {
    private static final int INSTANCES = 100;
    private static final int SEEDS = 20;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Each instance has a token bucket that refills at an equal share of the limit. */
    private static final class TokenBuckets implements Bursts.SendPolicy {
      private final List<TokenBucket> buckets = new ArrayList<>();
      private final double perSecond;

      TokenBuckets(Random random) {
        perSecond = MAX_PER_SECOND / INSTANCES;
        for (int i = 0; i < INSTANCES; i++) {
          TokenBucket bucket = new TokenBucket(1, 0);
          bucket.tryTake(0, 0);
          // Sets the fill level as if the bucket had begun to refill at a random earlier moment.
          bucket.tryTake(random.nextDouble(), TimeUnit.SECONDS.toNanos(1));
          buckets.add(bucket);
        }
      }

      @Override
      public boolean send(int instance, long nowNanos) {
        return buckets.get(instance).tryTake(perSecond, nowNanos + TimeUnit.SECONDS.toNanos(1));
      }
    }

    /** Few instances are selected as senders. */
    private static final class SelectedSenders implements Bursts.SendPolicy {
      private final List<SendWindow> windows = new ArrayList<>();
      private final String server;

      SelectedSenders(Random random) {
        server = "i-" + random.nextInt();
        for (int i = 0; i < INSTANCES; i++) {
          windows.add(new SendWindow(TimeUnit.SECONDS.toNanos(1)));
        }
      }

      @Override
      public boolean send(int instance, long nowNanos) {
        ColdShare share =
            ColdShare.of(
                WARMUP,
                BOUNDS,
                new SenderSelection("front-" + instance, server, INSTANCES, NO_INDEX));
        SendWindow window = windows.get(instance);
        if (window.count(TimeUnit.SECONDS.toNanos(1), nowNanos) >= share.maxPerSecond()) {
          return false;
        }
        window.add(nowNanos);
        return true;
      }
    }

    private static long worst(Bursts.SendPolicy strategy) {
      List<Long> sends = Bursts.simulate(strategy, INSTANCES, 0, SPAN_NANOS, STEP_NANOS);
      return Bursts.maxInWindow(sends, TimeUnit.SECONDS.toNanos(1));
    }

    /**
     * A server restarts cold in a burst, and all instances have requests for it at once. With a
     * token bucket per instance, the sum is near the limit on average but exceeds it in some
     * second; with selected senders it stays below, and the server does not crash.
     */
    @Test
    public void selectedSendersKeepTheLimitInEverySecond() {
      long worstBuckets = 0;
      long worstSelected = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        worstBuckets = Math.max(worstBuckets, worst(new TokenBuckets(new Random(seed))));
        worstSelected = Math.max(worstSelected, worst(new SelectedSenders(new Random(seed))));
      }
      assertTrue(worstBuckets > MAX_PER_SECOND, "buckets " + worstBuckets);
      assertTrue(worstSelected <= MAX_PER_SECOND, "selected senders " + worstSelected);
      System.out.printf(
          "cold-share: most_in_a_second buckets=%d drawn=%d limit=%.1f%n",
          worstBuckets, worstSelected, MAX_PER_SECOND);
    }
  }
}
