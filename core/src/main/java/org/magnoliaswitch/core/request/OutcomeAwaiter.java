package org.magnoliaswitch.core.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.KeyOutcome;

/** Waits for the outcome of another request with the same idempotency key. */
@FunctionalInterface
public interface OutcomeAwaiter {
  /** Returns the outcome, or {@link KeyOutcome.Running} if the deadline passes first. */
  KeyOutcome await(CompletableFuture<KeyOutcome> run, Deadline deadline);

  /** Creates an awaiter that blocks the calling thread. */
  static OutcomeAwaiter blocking(Clocks clocks) {
    return (run, deadline) -> {
      try {
        long remaining = Math.max(0, deadline.remaining(clocks.nanos()));
        return run.get(remaining, TimeUnit.NANOSECONDS);
      } catch (ExecutionException | TimeoutException e) {
        return new KeyOutcome.Running();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return new KeyOutcome.Running();
      }
    };
  }
}
