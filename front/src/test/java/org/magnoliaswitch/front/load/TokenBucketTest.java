package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests that the rate and the burst of a token bucket are limited. */
public final class TokenBucketTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Guards against a query that consumes the budget it asks for, or loses what has accumulated. */
  @Test
  public void askingForATokenTakesNone() {
    TokenBucket bucket = new TokenBucket(1, 0);
    assertTrue(bucket.hasToken(1, 0));
    assertTrue(bucket.tryTake(1, 0));
    assertFalse(bucket.hasToken(1, SECOND / 2));
    assertFalse(bucket.tryTake(1, SECOND / 2));
    assertTrue(bucket.hasToken(1, SECOND));
    assertTrue(bucket.tryTake(1, SECOND));
    assertFalse(bucket.hasToken(1, SECOND));
  }
}
