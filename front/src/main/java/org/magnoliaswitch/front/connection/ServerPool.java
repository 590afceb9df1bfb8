package org.magnoliaswitch.front.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.version.ServerEntry;

/** Pool of persistent connections to one incarnation of a backend server. Not thread-safe. */
public final class ServerPool {
  /** Time within which a connection accepted by a crashing process is closed with the process. */
  private static final long CLOSE_DETECTION_MILLIS = 30;

  private static final int FIRST_ATTEMPT = 1;
  private static final int LAST_ATTEMPT = 2;

  private final ServerState state;
  private final ServerConnector connector;
  private final Clocks clocks;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();
  private final Set<ServerConnection> all = new HashSet<>();
  private final List<Consumer<Boolean>> crashCheckCallbacks = new ArrayList<>();
  private final List<Consumer<Optional<Boolean>>> othersCallbacks = new ArrayList<>();
  private int opening;

  public ServerPool(ServerState state, ServerConnector connector, Clocks clocks) {
    this.state = state;
    this.connector = connector;
    this.clocks = clocks;
  }

  /** State of the server. */
  public ServerState state() {
    return state;
  }

  /** Number of open connections, including busy ones. */
  public int size() {
    return all.size();
  }

  /**
   * Acquires the most recently used idle connection that may carry the request, if it was used
   * recently enough.
   *
   * @param maxIdleNanos idle time after which a connection is not reused for the request
   * @param requestId id of the request; empty for a health check
   */
  public Optional<ServerConnection> acquireIdle(long maxIdleNanos, Optional<String> requestId) {
    Iterator<ServerConnection> latestFirst = idle.descendingIterator();
    while (latestFirst.hasNext()) {
      ServerConnection connection = latestFirst.next();
      if (!connection.usable(clocks.nanos(), maxIdleNanos)) {
        return Optional.empty();
      }
      if (connection.mayCarry(requestId)) {
        latestFirst.remove();
        publishIdleCount();
        return Optional.of(connection);
      }
    }
    return Optional.empty();
  }

  /** Whether connections are opened through other instances. */
  public boolean detour() {
    return connector.paths().detour(state.entry().service(), state.entry().id());
  }

  /** Whether a connection is being opened. */
  public boolean opening() {
    return opening > 0;
  }

  /** Opens a connection; exactly one of the callbacks is called. */
  public void connect(Consumer<ServerConnection> connected, Consumer<Throwable> failed) {
    open(connector::connect, connected, failed);
  }

  /** One of the ways in which the connector opens connections. */
  @FunctionalInterface
  private interface Opening {
    void open(
        ServerEntry server,
        ServerConnection.Owner owner,
        Consumer<ServerConnection> connected,
        Consumer<Throwable> failed);
  }

  private void open(Opening way, Consumer<ServerConnection> connected, Consumer<Throwable> failed) {
    opening++;
    way.open(
        state.entry(),
        new PooledConnectionOwner(),
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
   * Opens a direct connection and adds it to the idle ones, to find out whether its path is back.
   */
  public void tryDirectPath() {
    connector.connectDirectly(
        state.entry(),
        new PooledConnectionOwner(),
        connection -> {
          all.add(connection);
          release(connection);
        },
        cause -> {});
  }

  /**
   * Checks whether the server's process has crashed, after a connection to it was closed: a live
   * process accepts another connection and keeps it open. Only a refused connection counts as a
   * crash; a server that closes the accepted connection is checked a second time, and counts as
   * live if it accepts again. Only the way in which connections are opened now is checked: asking
   * others as well would delay the result, while the request is sent again elsewhere. A machine
   * that does not answer at all cannot be distinguished from a network failure and counts as live,
   * and so does a server in an evacuated data centre, which must not be contacted. Concurrent
   * checks share one result.
   *
   * @param callback receives true if the process has crashed
   */
  public void checkCrashed(Consumer<Boolean> callback) {
    if (state.evacuated()) {
      callback.accept(false);
      return;
    }
    crashCheckCallbacks.add(callback);
    if (crashCheckCallbacks.size() == 1) {
      checkCrashed(FIRST_ATTEMPT);
    }
  }

  /**
   * Checks whether the server accepts a connection in the way in which connections are opened now;
   * it is kept for the next request.
   */
  public void checkReachable(Consumer<Boolean> callback) {
    connectAsNow(
        connection -> {
          release(connection);
          callback.accept(true);
        },
        cause -> callback.accept(false));
  }

  /**
   * Asks other instances whether the server refuses their connections. Concurrent checks share one
   * result. A server in an evacuated data centre must not be contacted.
   *
   * @param callback receives the answer, or nothing if no other instance can tell
   */
  public void checkRefusedToOthers(Consumer<Optional<Boolean>> callback) {
    if (state.evacuated()) {
      callback.accept(Optional.empty());
      return;
    }
    othersCallbacks.add(callback);
    if (othersCallbacks.size() == 1) {
      connector.checkRefusedToOthers(state.entry(), this::completeCheckByOthers);
    }
  }

  private void completeCheckByOthers(Optional<Boolean> refused) {
    List<Consumer<Optional<Boolean>>> callbacks = List.copyOf(othersCallbacks);
    othersCallbacks.clear();
    callbacks.forEach(callback -> callback.accept(refused));
  }

  /** Opens a connection in one way, without trying the other one beside it. */
  private void connectAsNow(Consumer<ServerConnection> connected, Consumer<Throwable> failed) {
    open(detour() ? connector::connect : connector::connectDirectly, connected, failed);
  }

  private void checkCrashed(int attempt) {
    connectAsNow(
        connection ->
            connector.afterMillis(CLOSE_DETECTION_MILLIS, () -> evaluate(connection, attempt)),
        cause -> completeCrashCheck(ServerConnector.connectionRefused(cause)));
  }

  /**
   * Evaluates a connection after the delay. A crashing process may still accept a connection, which
   * is then closed like the others.
   */
  private void evaluate(ServerConnection connection, int attempt) {
    boolean keptOpen = connection.usable(clocks.nanos(), Long.MAX_VALUE);
    if (keptOpen) {
      release(connection);
    }
    if (keptOpen || attempt == LAST_ATTEMPT) {
      completeCrashCheck(false);
    } else {
      checkCrashed(attempt + 1);
    }
  }

  private void completeCrashCheck(boolean crashed) {
    List<Consumer<Boolean>> callbacks = List.copyOf(crashCheckCallbacks);
    crashCheckCallbacks.clear();
    callbacks.forEach(callback -> callback.accept(crashed));
  }

  /** Returns a connection that was acquired but not used. */
  public void release(ServerConnection connection) {
    new PooledConnectionOwner().released(connection);
  }

  /**
   * Closes idle connections that the server would soon close, and all idle connections to a server
   * that accepts no more work.
   */
  public void sweep(long maxIdleNanos) {
    long now = clocks.nanos();
    boolean closeAll = !state.acceptsWork();
    for (ServerConnection connection : Set.copyOf(idle)) {
      if (closeAll || !connection.usable(now, maxIdleNanos)) {
        idle.remove(connection);
        connection.abandon();
      }
    }
    publishIdleCount();
  }

  /**
   * Closes all idle connections. Busy ones are closed after their exchange if the server accepts no
   * more work.
   */
  public void closeIdle() {
    sweep(0);
  }

  /**
   * Closes the idle connections that do not lead the way in which connections are opened now. Those
   * that led it when it was lost hang or are reset with the next request.
   *
   * @param direct whether the direct connections are kept, and not the relayed ones
   */
  public void closeIdle(boolean direct) {
    for (ServerConnection connection : Set.copyOf(idle)) {
      if (connection.relay().isEmpty() != direct) {
        idle.remove(connection);
        connection.abandon();
      }
    }
    publishIdleCount();
  }

  private void publishIdleCount() {
    state.idleConnections(idle.size());
  }

  /** Returns connections to the pool after their exchanges. */
  private final class PooledConnectionOwner implements ServerConnection.Owner {
    @Override
    public void released(ServerConnection connection) {
      boolean needlessDetour = connection.relay().isPresent() && !detour();
      if (!state.acceptsWork() || needlessDetour) {
        connection.abandon();
        return;
      }
      idle.addLast(connection);
      publishIdleCount();
    }

    @Override
    public void unmatched(ServerConnection connection, UnmatchedBytes bytes) {
      connector.unmatchedBytes().received(state.entry(), connection, bytes);
    }

    @Override
    public void closed(ServerConnection connection) {
      all.remove(connection);
      idle.remove(connection);
      publishIdleCount();
    }
  }
}
