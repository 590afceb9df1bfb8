package org.magnoliaswitch.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Tokens for further attempts, earned by first attempts.
 *
 * <p>In the long run the further attempts stay below the declared ratio, so retries cannot amplify
 * an overload; a small reserve allows retries of a service with few requests.
 */
public final class RetryBudget {
  private static final long TOKEN = 1_000;
  private static final long RESERVE = 5 * TOKEN;

  private final AtomicLong tokens = new AtomicLong(RESERVE);

  /** Adds the fraction of a token that one first attempt earns. */
  public void earn(double ratio) {
    long earned = (long) (ratio * TOKEN);
    tokens.accumulateAndGet(earned, (before, added) -> Math.min(RESERVE * 4, before + added));
  }

  /** Takes one token if there is one; returns whether it did. */
  public boolean trySpend() {
    long before = tokens.get();
    while (before >= TOKEN) {
      if (tokens.compareAndSet(before, before - TOKEN)) {
        return true;
      }
      before = tokens.get();
    }
    return false;
  }
}
