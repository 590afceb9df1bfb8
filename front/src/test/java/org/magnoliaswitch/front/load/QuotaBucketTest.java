package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests what a bucket gives out within any window. */
public final class QuotaBucketTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long WINDOW = 5_000 * MILLI;
  private static final QuotaBucket.Size SIZE = new QuotaBucket.Size(10, 20, 50, 4);

  /** Tokens that were taken at a time. */
  private record Taken(long at, double tokens) {}

  private static double largestWindow(List<Taken> all) {
    return all.stream()
        .mapToDouble(
            end ->
                all.stream()
                    .filter(taken -> taken.at() <= end.at() && taken.at() > end.at() - WINDOW)
                    .mapToDouble(Taken::tokens)
                    .sum())
        .max()
        .orElse(0);
  }

  /** Guards against a full bucket that is given out on top of the refill of a whole window. */
  @Test
  public void noWindowContainsMoreThanTheSizeSays() {
    Random random = new Random(7);
    for (int run = 0; run < 50; run++) {
      QuotaBucket bucket = new QuotaBucket(SIZE, WINDOW, true, 0);
      List<Taken> taken = new ArrayList<>();
      for (long at = 0; at < 20_000 * MILLI; at += random.nextLong(400) * MILLI) {
        bucket.refill(at);
        double tokens = Math.max(0, bucket.tokens()) * random.nextDouble();
        bucket.take(tokens, at);
        taken.add(new Taken(at, tokens));
      }
      assertTrue(largestWindow(taken) <= SIZE.perWindow() + 1e-6, "run " + run);
    }
  }

  /** Guards against a seed that ends with its bucket used up, starts, and gives all of it again. */
  @Test
  public void seedThatStartsAnewStaysWithinTheWindow() {
    for (int emptiedFor = 0; emptiedFor <= 5_000; emptiedFor += 250) {
      List<Taken> taken = new ArrayList<>();
      QuotaBucket ended = new QuotaBucket(SIZE, WINDOW, true, 0);
      long end = emptiedFor * MILLI;
      takeAll(ended, 0, end, taken);
      takeAll(new QuotaBucket(SIZE, WINDOW, false, end), end, end + 10_000 * MILLI, taken);
      assertTrue(
          largestWindow(taken) <= SIZE.perWindow() + SIZE.reserve() + 1e-6,
          "emptied for " + emptiedFor + " ms");
    }
  }

  private static void takeAll(QuotaBucket bucket, long from, long to, List<Taken> taken) {
    for (long at = from; at <= to; at += 50 * MILLI) {
      bucket.refill(at);
      double tokens = Math.max(0, bucket.tokens());
      bucket.take(tokens, at);
      taken.add(new Taken(at, tokens));
    }
  }

  /** Guards against tokens of other seeds that count against the window of this one. */
  @Test
  public void tokensOfOtherSeedsAreNotCountedAgainstTheWindow() {
    QuotaBucket bucket = new QuotaBucket(SIZE, WINDOW, true, 0);
    for (long at = 0; at < WINDOW; at += 1_000 * MILLI) {
      bucket.refill(at);
      bucket.take(bucket.tokens(), at);
      bucket.add(15, at);
    }
    assertEquals(bucket.tokens(), 15, 1e-9);
  }
}
