package org.magnoliaswitch.front.process;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.magnoliaswitch.core.crash.CrashReport;

/**
 * Stores server crashes, each with the request that was in progress, so that they outlast the
 * instances that observed them. Callbacks run on the control event loop.
 */
public interface CrashStore {
  /** Stores nothing; for platforms that have no storage for crashes. */
  CrashStore NONE =
      new CrashStore() {
        @Override
        public void read(Consumer<StateSource.Read<StoredCrashes>> listener) {
          listener.accept(new StateSource.Read.Unchanged<>());
        }

        @Override
        public void change(
            Collection<CrashReport.Crashed> puts,
            Collection<CrashReport.Crashed> removals,
            Consumer<Boolean> done) {
          done.accept(true);
        }
      };

  /**
   * A stored crash.
   *
   * @param crash the crash as it was reported
   * @param epochMillis when it was written by the writer's clock, in milliseconds since the epoch
   */
  record StoredCrash(CrashReport.Crashed crash, long epochMillis) {}

  /**
   * All stored crashes.
   *
   * @param epoch how often the store has been restored from a copy, which lacks later changes
   */
  record StoredCrashes(long epoch, List<StoredCrash> crashes) {
    public StoredCrashes {
      crashes = List.copyOf(crashes);
    }
  }

  /** Reads all stored crashes. */
  void read(Consumer<StateSource.Read<StoredCrashes>> listener);

  /**
   * Adds and removes crashes and passes whether the store confirmed the change to {@code done}. An
   * unconfirmed change may have been applied; it is safe to repeat it.
   */
  void change(
      Collection<CrashReport.Crashed> puts,
      Collection<CrashReport.Crashed> removals,
      Consumer<Boolean> done);
}
