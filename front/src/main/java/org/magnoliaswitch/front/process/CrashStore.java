package org.magnoliaswitch.front.process;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.magnoliaswitch.core.crash.CrashReport;

/**
 * Where ends of servers under requests outlast the instances that saw them; callbacks run on the
 * control event loop.
 */
public interface CrashStore {
  /** Keeps nothing; for a platform without a place for it. */
  CrashStore NONE =
      new CrashStore() {
        @Override
        public void read(Consumer<StateSource.Read<List<StoredCrash>>> listener) {
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
   * An end as it is kept.
   *
   * @param epochMillis when it was written, by the writer's time of day
   */
  record StoredCrash(CrashReport.Crashed ended, long epochMillis) {}

  /** Reads all that is kept. */
  void read(Consumer<StateSource.Read<List<StoredCrash>>> listener);

  /**
   * Adds and removes ends; the listener is told whether the store confirmed it. What was not
   * confirmed may have been done, and may be asked for again.
   */
  void change(
      Collection<CrashReport.Crashed> puts,
      Collection<CrashReport.Crashed> removals,
      Consumer<Boolean> done);
}
