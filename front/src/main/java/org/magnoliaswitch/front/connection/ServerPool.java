package org.magnoliaswitch.front.connection;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.ServerState;

/** The kept connections to one incarnation of a backend server; used by one thread only. */
public final class ServerPool {
  /** Time after which a connection that a process took while it ended is closed with it. */
  private static final long SETTLE_MILLIS = 30;

  private static final int FIRST_LOOK = 1;
  private static final int LAST_LOOK = 2;

  private final ServerState state;
  private final ServerConnector connector;
  private final Clocks clocks;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();
  private final Set<ServerConnection> all = new HashSet<>();
  private final List<Consumer<Boolean>> askingWhetherEnded = new ArrayList<>();
  private int opening;

  public ServerPool(ServerState state, ServerConnector connector, Clocks clocks) {
    this.state = state;
    this.connector = connector;
    this.clocks = clocks;
  }

  /** What is known of the server. */
  public ServerState state() {
    return state;
  }

  /** Connections that are open, busy ones included. */
  public int size() {
    return all.size();
  }

  /**
   * Takes the connection used last, if it was used recently enough.
   *
   * @param maxIdleNanos idle time after which a connection is not trusted with the request
   */
  public Optional<ServerConnection> acquireIdle(long maxIdleNanos) {
    ServerConnection connection = idle.peekLast();
    if (connection == null || !connection.usable(clocks.nanos(), maxIdleNanos)) {
      return Optional.empty();
    }
    idle.removeLast();
    countIdle();
    return Optional.of(connection);
  }

  /** Whether a connection is being opened. */
  public boolean opening() {
    return opening > 0;
  }

  /** Opens a connection; exactly one of the callbacks is called. */
  public void connect(Consumer<ServerConnection> connected, Consumer<Throwable> failed) {
    InetSocketAddress address = new InetSocketAddress(state.entry().host(), state.entry().port());
    opening++;
    connector.connect(
        address,
        new Members(),
        connection -> {
          opening--;
          all.add(connection);
          connected.accept(connection);
        },
        cause -> {
          opening--;
          failed.accept(cause);
        });
  }

  /**
   * Finds out whether the server's process has ended, after a connection to it did: one that lives
   * takes another connection and keeps it. A machine that does not answer at all is not told from a
   * cut path, and counts as living, as one that must be left alone does. Callers that ask at the
   * same time share the answer.
   */
  public void checkCrashed(Consumer<Boolean> told) {
    if (state.evacuated()) {
      told.accept(false);
      return;
    }
    askingWhetherEnded.add(told);
    if (askingWhetherEnded.size() == 1) {
      checkCrashed(FIRST_LOOK);
    }
  }

  private void checkCrashed(int look) {
    connect(
        connection -> connector.afterMillis(SETTLE_MILLIS, () -> settled(connection, look)),
        cause -> tellWhetherEnded(ServerConnector.refused(cause)));
  }

  /** A process on its way out may still take a connection, which then ends like the others. */
  private void settled(ServerConnection connection, int look) {
    boolean keeps = connection.usable(clocks.nanos(), Long.MAX_VALUE);
    if (keeps) {
      release(connection);
    }
    if (keeps || look == LAST_LOOK) {
      tellWhetherEnded(false);
    } else {
      checkCrashed(look + 1);
    }
  }

  private void tellWhetherEnded(boolean ended) {
    List<Consumer<Boolean>> asking = List.copyOf(askingWhetherEnded);
    askingWhetherEnded.clear();
    asking.forEach(told -> told.accept(ended));
  }

  /** Gives back a connection that was taken but not used. */
  public void release(ServerConnection connection) {
    new Members().released(connection);
  }

  /** Closes idle connections whose server would soon close them, and all of a server that left. */
  public void sweep(long maxIdleNanos) {
    long now = clocks.nanos();
    boolean left = !state.acceptsWork();
    for (ServerConnection connection : Set.copyOf(idle)) {
      if (left || !connection.usable(now, maxIdleNanos)) {
        idle.remove(connection);
        connection.abandon();
      }
    }
    countIdle();
  }

  /** Closes idle connections now; busy ones close when they are done, if the server has left. */
  public void closeIdle() {
    sweep(0);
  }

  private void countIdle() {
    state.idleConnections(idle.size());
  }

  /** Takes connections back from their exchanges. */
  private final class Members implements ServerConnection.Owner {
    @Override
    public void released(ServerConnection connection) {
      if (!state.acceptsWork()) {
        connection.abandon();
        return;
      }
      idle.addLast(connection);
      countIdle();
    }

    @Override
    public void closed(ServerConnection connection) {
      all.remove(connection);
      idle.remove(connection);
      countIdle();
    }
  }
}
