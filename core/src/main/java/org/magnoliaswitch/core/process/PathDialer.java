package org.magnoliaswitch.core.process;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.connection.ServerDialer;
import org.magnoliaswitch.core.version.BackendServer;

/** Opens connections to one server in the ways that lead to it. */
final class PathDialer implements ServerDialer {
  /**
   * Time after which a peer is asked beside a direct attempt. Within a region, a connection opens
   * within a few milliseconds.
   */
  private static final int RELAY_DELAY_MILLIS = 60;

  /** Time within which another server must accept a connection to show that the path is there. */
  private static final int COMPARISON_MILLIS = 60;

  private final ServerConnections connections;
  private final PeerRelays relays;
  private final Clocks clocks;
  private final String service;
  private final BackendServer server;

  PathDialer(
      ServerConnections connections,
      PeerRelays relays,
      Clocks clocks,
      String service,
      BackendServer server) {
    this.connections = connections;
    this.relays = relays;
    this.clocks = clocks;
    this.service = service;
    this.server = server;
  }

  @Override
  public BackendConnection open(int timeoutMillis) throws IOException {
    if (connections.paths().detour(service, server.id())) {
      return openOnDetour(timeoutMillis);
    }
    return relays.available(service) ? openInTwoWays(timeoutMillis) : openDirectly(timeoutMillis);
  }

  private BackendConnection openDirectly(int timeoutMillis) throws IOException {
    return BackendConnection.over(
        connections.connectDirectly(service, server, timeoutMillis), clocks);
  }

  private BackendConnection openOnDetour(int timeoutMillis) throws IOException {
    try {
      return openThroughPeer(timeoutMillis);
    } catch (PeerRelays.NoRelayException e) {
      if (connections.paths().lost(service)) {
        throw e;
      }
      return openDirectly(timeoutMillis);
    }
  }

  private BackendConnection openThroughPeer(int timeoutMillis) throws IOException {
    Socket socket = relays.open(service, server.id(), timeoutMillis);
    connections.paths().reachedByOther(service, server.id());
    return BackendConnection.throughPeer(socket, clocks);
  }

  private BackendConnection openInTwoWays(int timeoutMillis) throws IOException {
    CompletableFuture<BackendConnection> direct =
        inBackground("direct-open", () -> openDirectly(timeoutMillis));
    try {
      return direct.get(Math.min(timeoutMillis, RELAY_DELAY_MILLIS), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      return openThroughPeerAfter(failureOf(e), timeoutMillis);
    } catch (TimeoutException e) {
      int left = Math.max(1, timeoutMillis - RELAY_DELAY_MILLIS);
      return first(direct, inBackground("relay-open", () -> openThroughPeer(left)));
    } catch (InterruptedException e) {
      closeOnceOpen(direct);
      throw interrupted(e);
    }
  }

  /** Fails with what the direct attempt has told of the server, unless a peer reaches it. */
  private BackendConnection openThroughPeerAfter(IOException directFailure, int timeoutMillis)
      throws IOException {
    try {
      return openThroughPeer(timeoutMillis);
    } catch (IOException e) {
      directFailure.addSuppressed(e);
      throw directFailure;
    }
  }

  /** Returns the connection that is open first; the other one is closed. */
  private static BackendConnection first(
      CompletableFuture<BackendConnection> direct, CompletableFuture<BackendConnection> relayed)
      throws IOException {
    CompletableFuture<BackendConnection> first = new CompletableFuture<>();
    var unusedDirect = direct.thenAccept(connection -> offer(first, connection));
    var unusedRelayed = relayed.thenAccept(connection -> offer(first, connection));
    var unusedBoth =
        CompletableFuture.allOf(direct, relayed)
            .whenComplete(
                (none, failure) -> {
                  if (direct.isCompletedExceptionally() && relayed.isCompletedExceptionally()) {
                    first.completeExceptionally(direct.exceptionNow());
                  }
                });
    try {
      return first.get();
    } catch (ExecutionException e) {
      throw failureOf(e);
    } catch (InterruptedException e) {
      closeOnceOpen(first);
      throw interrupted(e);
    }
  }

  private static void offer(
      CompletableFuture<BackendConnection> first, BackendConnection connection) {
    if (!first.complete(connection)) {
      connection.abort();
    }
  }

  private static void closeOnceOpen(CompletableFuture<BackendConnection> opening) {
    var unused = opening.thenAccept(BackendConnection::abort);
  }

  private static IOException interrupted(InterruptedException cause) {
    Thread.currentThread().interrupt();
    return new IOException("interrupted while a connection was opened", cause);
  }

  private static IOException failureOf(ExecutionException e) {
    return e.getCause() instanceof IOException cause ? cause : new IOException(e.getCause());
  }

  @FunctionalInterface
  private interface Opening {
    BackendConnection open() throws IOException;
  }

  private static CompletableFuture<BackendConnection> inBackground(String name, Opening opening) {
    CompletableFuture<BackendConnection> opened = new CompletableFuture<>();
    Thread.ofVirtual()
        .name(name)
        .start(
            () -> {
              try {
                opened.complete(opening.open());
              } catch (IOException | RuntimeException e) {
                opened.completeExceptionally(e);
              }
            });
    return opened;
  }

  /**
   * Whether the server's process has exited. A refused connection does not show this alone, since a
   * link that this instance has lost may refuse connections, too: peers must be refused as well,
   * and another server of the service must accept a connection.
   */
  @Override
  public boolean refusesConnections(int timeoutMillis) {
    try {
      if (!connections.paths().detour(service, server.id())) {
        connections.connectDirectly(service, server, timeoutMillis).close();
        return false;
      }
    } catch (ConnectException e) {
      // Peers tell whether the server has refused the connection, or the link.
      return !acceptsPeers(timeoutMillis) && othersAccept(timeoutMillis);
    } catch (IOException e) {
      return false;
    }
    return !acceptsPeers(timeoutMillis) && othersAccept(timeoutMillis);
  }

  private boolean acceptsPeers(int timeoutMillis) {
    try {
      relays.open(service, server.id(), timeoutMillis).close();
      return true;
    } catch (ConnectException | PeerRelays.NoRelayException e) {
      return false;
    } catch (IOException e) {
      // Silence is no refusal.
      return true;
    }
  }

  /**
   * Whether another server of the service accepts a connection, or there is none, so that the
   * refusal of one is not due to a lost path.
   */
  private boolean othersAccept(int timeoutMillis) {
    List<BackendServer> others =
        connections.usable(service).stream()
            .filter(other -> !other.id().equals(server.id()))
            .filter(other -> !connections.paths().detour(service, other.id()))
            .toList();
    long deadline = clocks.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    for (BackendServer other : others) {
      if (clocks.nanos() - deadline >= 0) {
        return false;
      }
      if (accepts(other)) {
        return true;
      }
    }
    return others.isEmpty();
  }

  private boolean accepts(BackendServer other) {
    try {
      connections.connectDirectly(service, other, COMPARISON_MILLIS).close();
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
