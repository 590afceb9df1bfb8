package org.magnoliaswitch.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Tokens for further attempts, earned by first attempts.
 *
 * <p>In the long run further attempts stay below the declared ratio, so retries cannot multiply an
 * overload; a small reserve lets a quiet service retry at all.
 */
public final class RetryBudget {
  private static final long TOKEN = 1_000;
  private static final long RESERVE = 5 * TOKEN;

  private final AtomicLong tokens = new AtomicLong(RESERVE);

  /** Earns the share of a token that one first attempt brings. */
  public void earn(double ratio) {
    long share = (long) (ratio * TOKEN);
    tokens.accumulateAndGet(share, (before, more) -> Math.min(RESERVE * 4, before + more));
  }

  /** Takes one token, if there is one. */
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
