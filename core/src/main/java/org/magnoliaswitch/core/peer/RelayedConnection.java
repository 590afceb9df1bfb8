package org.magnoliaswitch.core.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Passes bytes between a peer and a backend server. A connection that breaks on one side breaks on
 * the other, so that an incomplete response is never taken for a complete one.
 */
final class RelayedConnection {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final PeerConnection peer;
  private final Socket server;

  RelayedConnection(PeerConnection peer, Socket server) {
    this.peer = peer;
    this.server = server;
  }

  /** Passes bytes on until the peer has closed its side; closes the connection to the server. */
  void run(int idleTimeoutMillis) throws IOException {
    try (server) {
      server.setTcpNoDelay(true);
      server.setSoTimeout(idleTimeoutMillis);
      Thread requests = Thread.ofVirtual().name("relay-requests").start(this::passRequests);
      passResponses();
      requests.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void passRequests() {
    try {
      pass(peer.input(), server.getOutputStream());
      server.close();
    } catch (IOException e) {
      closeServer();
    }
  }

  private void passResponses() {
    try {
      pass(server.getInputStream(), peer.output());
      peer.endOutput();
    } catch (IOException e) {
      peer.reset();
    }
  }

  private static void pass(InputStream from, OutputStream to) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    for (int count = from.read(buffer); count >= 0; count = from.read(buffer)) {
      to.write(buffer, 0, count);
      to.flush();
    }
  }

  private void closeServer() {
    try {
      server.close();
    } catch (IOException e) {
      // The connection is given up, whether or not the socket could be closed.
      return;
    }
  }
}
