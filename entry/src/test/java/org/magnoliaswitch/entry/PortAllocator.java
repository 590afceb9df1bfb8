package org.magnoliaswitch.entry;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for entries and stand-ins that bind them later.
 *
 * <p>A port chosen by the system can be given to another socket, outgoing ones included, until it
 * is bound. The ports allocated here are handed out once, from a range below the system's ephemeral
 * ports.
 */
final class PortAllocator {
  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 22_000;

  /** Spreads the first ports of concurrent test processes. */
  private static final int PROCESS_STEP = 89;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STEP % PORT_COUNT));

  private PortAllocator() {}

  /** Returns a port that is not in use and has not been returned before. */
  static int allocate() throws IOException {
    for (int i = 0; i < PORT_COUNT; i++) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IOException("no free port");
  }

  private static boolean isFree(int port) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("127.0.0.1", port));
      return true;
    } catch (BindException e) {
      return false;
    }
  }
}
