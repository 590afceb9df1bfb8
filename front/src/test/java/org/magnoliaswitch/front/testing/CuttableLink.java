package org.magnoliaswitch.front.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.front.version.ServerEntry;

/** The link from one instance to one backend server, which a test cuts. */
public final class CuttableLink implements AutoCloseable {
  /** How a cut link behaves. */
  public enum Cut {
    /** Nothing arrives in either direction; new connections hang. */
    SILENT,
    /** Requests arrive and their answers do not; new connections hang. */
    ONE_WAY,
    /** Open connections are reset and new ones refused. */
    RESET,
    /** Open connections live on and new ones are refused. */
    REFUSED
  }

  private static final int FILL_TIMEOUT_MILLIS = 40;

  private final ServerEntry server;
  private final int port;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final List<Socket> fillers = new ArrayList<>();
  private final AtomicInteger uses = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private ServerSocket listener;
  private Thread acceptor;
  private volatile CountDownLatch requestsPass = new CountDownLatch(0);
  private volatile CountDownLatch answersPass = new CountDownLatch(0);

  public CuttableLink(ServerEntry server) throws IOException {
    this.server = server;
    this.listener = listen(0);
    this.port = listener.getLocalPort();
    this.acceptor = accept(listener);
  }

  /** The server's entry as this link shows it to its instance. */
  public ServerEntry entry() {
    return new ServerEntry(
        server.id(),
        server.startedMillis(),
        server.service(),
        "127.0.0.1",
        port,
        server.dataCentre(),
        server.slots(),
        server.draining(),
        server.warmupNanos());
  }

  /** Number of requests and health checks that have passed over the link. */
  public int uses() {
    return uses.get();
  }

  /** Number of requests and health checks that have passed over the link and are not answered. */
  public int waiting() {
    return waiting.get();
  }

  /** Cuts the link. */
  public void cut(Cut cut) throws IOException {
    switch (cut) {
      case SILENT -> {
        requestsPass = new CountDownLatch(1);
        answersPass = new CountDownLatch(1);
        fillBacklog();
      }
      case ONE_WAY -> {
        answersPass = new CountDownLatch(1);
        fillBacklog();
      }
      case RESET -> {
        closeListener();
        for (Socket socket : open) {
          reset(socket);
        }
      }
      case REFUSED -> closeListener();
    }
  }

  /** Closes the listener; its port may accept connections until the accepting thread has ended. */
  private void closeListener() throws IOException {
    listener.close();
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void reset(Socket socket) throws IOException {
    try {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // Its other side has closed it meanwhile.
      return;
    }
    socket.close();
  }

  /** Restores the link; what was held arrives. */
  public void restore() throws IOException {
    waiting.set(0);
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    requestsPass.countDown();
    answersPass.countDown();
    if (listener.isClosed()) {
      listener = listen(port);
      acceptor = accept(listener);
    }
  }

  @Override
  public void close() throws IOException {
    restore();
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
    return socket;
  }

  /** Fills the queue of connections that wait to be accepted, so that further ones hang. */
  private void fillBacklog() throws IOException {
    boolean hangs = false;
    while (!hangs) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), FILL_TIMEOUT_MILLIS);
      } catch (SocketTimeoutException e) {
        hangs = true;
      }
    }
  }

  private Thread accept(ServerSocket from) {
    return Thread.ofVirtual()
        .start(
            () -> {
              while (!from.isClosed()) {
                acceptNext(from);
              }
            });
  }

  private void acceptNext(ServerSocket from) {
    try {
      answersPass.await();
      Socket caller = from.accept();
      open.add(caller);
      // A connection that was accepted while the link was being cut is cut, too.
      answersPass.await();
      Socket target = new Socket(server.host(), server.port());
      open.add(target);
      pipe(caller, target, true);
      pipe(target, caller, false);
    } catch (IOException e) {
      // The listener or the server is closed.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pipe(Socket from, Socket to, boolean requests) {
    Thread.ofVirtual()
        .start(
            () -> {
              try (from;
                  to) {
                copy(from, to, requests);
              } catch (IOException e) {
                // It is closed already.
                return;
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } finally {
                open.remove(from);
                open.remove(to);
              }
            });
  }

  private void copy(Socket from, Socket to, boolean requests)
      throws IOException, InterruptedException {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[8192];
      int length = in.read(buffer);
      while (length >= 0) {
        (requests ? requestsPass : answersPass).await();
        out.write(buffer, 0, length);
        uses.addAndGet(requests ? 1 : 0);
        waiting.addAndGet(requests ? 1 : -1);
        length = in.read(buffer);
      }
    } catch (IOException e) {
      // Passed on as a reset, so that the other side does not take it for an ordinary end.
      reset(to);
    }
  }
}
