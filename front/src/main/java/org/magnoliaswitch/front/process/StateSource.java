package org.magnoliaswitch.front.process;

import java.util.function.Consumer;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.ServerList;

/** Where configuration and discovery come from; callbacks run on the control event loop. */
public interface StateSource {
  /** Makes the source of a process. */
  interface Factory {
    /**
     * Makes a source.
     *
     * @param loop where its callbacks run
     * @param log where it tells what it leaves out
     * @param metrics where it counts that
     */
    StateSource create(Loop loop, EventLog log, FrontMetrics metrics);
  }

  /**
   * How a read ended.
   *
   * @param <T> what was read
   */
  sealed interface Read<T> {
    /** A value as of one moment. */
    record Known<T>(T value) implements Read<T> {}

    /** The source answered and there is nothing new. */
    record Unchanged<T>() implements Read<T> {}

    /**
     * No useful answer.
     *
     * @param reason one word for the log
     */
    record Failed<T>(String reason) implements Read<T> {}
  }

  /** Reads what operators have declared. */
  void operatorState(Consumer<Read<OperatorState>> listener);

  /**
   * Waits for a change of what operators have declared since the last read.
   *
   * <p>The answer {@link Read.Unchanged} after the longest wait is usual; {@link Read.Failed} also
   * says that changes may have been missed.
   *
   * @param waitMillis longest wait for a change
   */
  void nextOperatorState(long waitMillis, Consumer<Read<OperatorState>> listener);

  /** Where ends of servers under requests are kept. */
  default CrashStore crashStore() {
    return CrashStore.NONE;
  }

  /** Reads the backend servers. */
  void servers(Consumer<Read<ServerList>> listener);
}
