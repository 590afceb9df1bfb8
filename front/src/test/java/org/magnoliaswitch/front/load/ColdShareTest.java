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

/** What all instances together send to a server that is cold. */
public final class ColdShareTest {
  private static final Warmup WARMUP = new Warmup(TimeUnit.SECONDS.toNanos(3), 2.6);
  private static final ColdShare.Bounds BOUNDS = new ColdShare.Bounds(1.5, 8);

  /** What a cold server bears in any second, with all of the slack. */
  private static final double MOST_PER_SECOND = 2.6 * 1.5 + 8;

  private static final int SERVERS = 200;

  private static final Optional<InstanceIndex> NOWHERE = Optional.empty();

  private static int sharesOf(String server, int instances, int believed) {
    int sum = 0;
    for (int i = 0; i < instances; i++) {
      sum +=
          ColdShare.of(WARMUP, BOUNDS, new SenderSelection("front-" + i, server, believed, NOWHERE))
              .maxPerSecond();
    }
    return sum;
  }

  private static List<Integer> sums(int instances, int believed) {
    List<Integer> sums = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      sums.add(sharesOf("i-" + i + "@0", instances, believed));
    }
    return sums;
  }

  private static int most(List<Integer> sums) {
    return sums.stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1}, {2}, {5}, {7}, {8}, {18}, {100}, {300}, {1500}};
  }

  /**
   * A data centre's servers come back cold in a burst, and every instance has requests for them.
   * Callers must not find servers that end under the load of all: the shares add up to no more than
   * a server bears, whatever the number of instances.
   */
  @Test(dataProvider = "sizes")
  public void sharesOfAllInstancesAddUpToNoMoreThanIsBorne(int instances) {
    assertTrue(most(sums(instances, instances)) <= MOST_PER_SECOND);
  }

  /** A restart of the seeds hides every fifth instance for a moment; still no server ends of it. */
  @Test(dataProvider = "sizes")
  public void aWrongCountIsBorne(int instances) {
    int believed = Math.max(1, (int) (0.8 * instances));
    assertTrue(most(sums(instances, believed)) <= MOST_PER_SECOND);
  }

  /** Servers that have just come get something: a cold server without a sender is lost capacity. */
  @Test(dataProvider = "sizes")
  public void mostColdServersHaveASender(int instances) {
    long without = sums(instances, instances).stream().filter(sum -> sum == 0).count();
    assertTrue(without <= 0.1 * SERVERS, without + " of " + SERVERS);
  }

  @Test
  public void aServiceThatDeclaresNothingIsNotLimited() {
    ColdShare share =
        ColdShare.of(Warmup.UNLIMITED, BOUNDS, new SenderSelection("a", "i@0", 100, NOWHERE));
    assertEquals(share.maxPerSecond(), Integer.MAX_VALUE);
  }

  /** Instances that have a place from a seed. */
  public static final class Placed {
    private static final int INSTANCES = 97;

    private static int share(String server, int place, int places) {
      Optional<InstanceIndex> known = Optional.of(new InstanceIndex(place, places));
      return ColdShare.of(WARMUP, BOUNDS, new SenderSelection("front", server, places, known))
          .maxPerSecond();
    }

    /** What the instances send whose places a list names, in a second. */
    private static int sum(String server, List<Integer> places) {
      return places.stream().mapToInt(place -> share(server, place, INSTANCES)).sum();
    }

    private static List<Integer> shuffled(long seed) {
      List<Integer> places = new ArrayList<>();
      for (int i = 0; i < INSTANCES; i++) {
        places.add(i);
      }
      Collections.shuffle(places, new Random(seed));
      return places;
    }

    /**
     * A data centre comes back cold in a burst. Drawn by their names, a server had three senders on
     * average and some had none, and callers were refused beside servers that would have borne
     * twice as many.
     */
    @Test
    public void eachColdServerHasAsManySendersAsItBears() {
      for (int i = 0; i < SERVERS; i++) {
        assertEquals(sum("i-" + i + "@0", shuffled(0)), 5);
      }
    }

    /**
     * The first seed ends, and instances turn to the next one, one after the other. Some have their
     * places from the one and some from the other; together they must not send a cold server more
     * than it bears.
     */
    @Test
    public void placesOfTwoSeedsTogetherSendNoMoreThanIsBorne() {
      List<Integer> first = shuffled(1);
      List<Integer> second = shuffled(2);
      for (int i = 0; i < SERVERS; i++) {
        String server = "i-" + i + "@0";
        for (int turned = 0; turned <= INSTANCES; turned += 8) {
          int all =
              sum(server, first.subList(turned, INSTANCES))
                  + sum(server, second.subList(0, turned));
          assertTrue(all <= MOST_PER_SECOND, server + " got " + all);
        }
      }
    }

    /** Two thirds of them have no place yet, since they have just started. */
    @Test
    public void withOthersThatAreDrawnByNameTheBoundHolds() {
      for (int i = 0; i < SERVERS; i++) {
        String server = "i-" + i + "@0";
        int named = 0;
        for (int k = 0; k < 2 * INSTANCES / 3; k++) {
          named +=
              ColdShare.of(
                      WARMUP, BOUNDS, new SenderSelection("front-" + k, server, INSTANCES, NOWHERE))
                  .maxPerSecond();
        }
        int all = named + sum(server, shuffled(3).subList(0, INSTANCES / 3));
        assertTrue(all <= MOST_PER_SECOND, server + " got " + all);
      }
    }

    /** A service that bears one request a second while cold is not left without a sender. */
    @Test
    public void aServerThatBearsOneRequestASecondHasASender() {
      Warmup one = new Warmup(TimeUnit.SECONDS.toNanos(3), 1);
      int senders = 0;
      for (int place = 0; place < INSTANCES; place++) {
        Optional<InstanceIndex> known = Optional.of(new InstanceIndex(place, INSTANCES));
        senders +=
            ColdShare.of(
                    one, ColdShare.Bounds.NONE, new SenderSelection("a", "i@0", INSTANCES, known))
                .maxPerSecond();
      }
      assertEquals(senders, 1);
    }
  }

  /** Two ways to keep a limit that nobody can ask the others about. */
  public static final class Ways {
    private static final int INSTANCES = 100;
    private static final int SEEDS = 20;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Each instance holds a bucket that fills at an even part of the limit. */
    private static final class Buckets implements Bursts.SendPolicy {
      private final List<TokenBucket> buckets = new ArrayList<>();
      private final double perSecond;

      Buckets(Random random) {
        perSecond = MOST_PER_SECOND / INSTANCES;
        for (int i = 0; i < INSTANCES; i++) {
          TokenBucket bucket = new TokenBucket(1, 0);
          bucket.tryTake(0, 0);
          // As much as if it had begun to fill at any moment before.
          bucket.tryTake(random.nextDouble(), TimeUnit.SECONDS.toNanos(1));
          buckets.add(bucket);
        }
      }

      @Override
      public boolean send(int instance, long nowNanos) {
        return buckets.get(instance).tryTake(perSecond, nowNanos + TimeUnit.SECONDS.toNanos(1));
      }
    }

    /** Few instances are drawn. */
    private static final class Drawn implements Bursts.SendPolicy {
      private final List<SendWindow> windows = new ArrayList<>();
      private final String server;

      Drawn(Random random) {
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
                new SenderSelection("front-" + instance, server, INSTANCES, NOWHERE));
        SendWindow window = windows.get(instance);
        if (window.size(TimeUnit.SECONDS.toNanos(1), nowNanos) >= share.maxPerSecond()) {
          return false;
        }
        window.add(nowNanos);
        return true;
      }
    }

    private static long worst(Bursts.SendPolicy way) {
      List<Long> sends = Bursts.simulate(way, INSTANCES, 0, SPAN_NANOS, STEP_NANOS);
      return Bursts.maxInWindow(sends, TimeUnit.SECONDS.toNanos(1));
    }

    /**
     * A server comes back cold in a burst and all instances have requests for it at once. With a
     * bucket each the sum stays near the limit on average but goes beyond it in some second; with
     * drawn senders it stays below, and the server lives.
     */
    @Test
    public void drawnSendersKeepTheLimitInEverySecond() {
      long worstBuckets = 0;
      long worstDrawn = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        worstBuckets = Math.max(worstBuckets, worst(new Buckets(new Random(seed))));
        worstDrawn = Math.max(worstDrawn, worst(new Drawn(new Random(seed))));
      }
      assertTrue(worstBuckets > MOST_PER_SECOND, "buckets " + worstBuckets);
      assertTrue(worstDrawn <= MOST_PER_SECOND, "drawn " + worstDrawn);
      System.out.printf(
          "cold-share: most_in_a_second buckets=%d drawn=%d limit=%.1f%n",
          worstBuckets, worstDrawn, MOST_PER_SECOND);
    }
  }
}
