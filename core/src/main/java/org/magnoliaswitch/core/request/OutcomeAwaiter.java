package org.magnoliaswitch.core.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.KeyOutcome;

/** Waits for another request under the same key. */
@FunctionalInterface
public interface OutcomeAwaiter {
  /** The outcome, or {@link KeyOutcome.Running} when the deadline came first. */
  KeyOutcome await(CompletableFuture<KeyOutcome> run, Deadline deadline);

  /** Blocks the calling thread. */
  static OutcomeAwaiter blocking(Clocks clocks) {
    return (run, deadline) -> {
      try {
        long left = Math.max(0, deadline.remaining(clocks.nanos()));
        return run.get(left, TimeUnit.NANOSECONDS);
      } catch (ExecutionException | TimeoutException e) {
        return new KeyOutcome.Running();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return new KeyOutcome.Running();
      }
    };
  }
}
