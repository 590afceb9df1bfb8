package org.magnoliaswitch.front.process;

import java.util.function.Consumer;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.ServerList;

/** Source of configuration and discovery; callbacks run on the control event loop. */
public interface StateSource {
  /** Creates the source of a process. */
  interface Factory {
    /**
     * Creates a source.
     *
     * @param loop event loop of its callbacks
     * @param log receives a line about what the source skips
     * @param metrics counts what the source skips
     */
    StateSource create(Loop loop, EventLog log, FrontMetrics metrics);
  }

  /**
   * Result of a read.
   *
   * @param <T> type of the value
   */
  sealed interface Read<T> {
    /** A value that was current at one point in time. */
    record Known<T>(T value) implements Read<T> {}

    /** The source responded that the value has not changed. */
    record Unchanged<T>() implements Read<T> {}

    /**
     * The read failed.
     *
     * @param reason single word for the log
     */
    record Failed<T>(String reason) implements Read<T> {}
  }

  /** Reads the state that operators have declared. */
  void operatorState(Consumer<Read<OperatorState>> listener);

  /**
   * Waits for a change of the declared state since the last read.
   *
   * <p>The result {@link Read.Unchanged} after the maximum wait is normal; {@link Read.Failed} also
   * means that changes may have been missed.
   *
   * @param waitMillis maximum wait for a change
   */
  void nextOperatorState(long waitMillis, Consumer<Read<OperatorState>> listener);

  /**
   * Whether the newest configuration of the source could be decoded. If not, the one in force is
   * not known to be the newest: the other one may have revoked keys.
   */
  default boolean newestConfigurationDecoded() {
    return true;
  }

  /** Returns the store for server crashes; by default one that stores nothing. */
  default CrashStore crashStore() {
    return CrashStore.NONE;
  }

  /** Reads the backend servers. */
  void servers(Consumer<Read<ServerList>> listener);
}
