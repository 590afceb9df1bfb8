import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A link to an address that can be cut: connections are reset then, and new ones refused. */
final class Link implements AutoCloseable {
  private final InetSocketAddress destination;
  private final InetSocketAddress address;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private ServerSocket listener;

  Link(String ip, int port, InetSocketAddress destination) throws IOException {
    this.destination = destination;
    this.listener = listen(new InetSocketAddress(InetAddress.getByName(ip), port));
    this.address = (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** The address at which the destination is reached over this link. */
  InetSocketAddress address() {
    return address;
  }

  private ServerSocket listen(InetSocketAddress where) throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(where, 100);
    Thread.ofVirtual().start(() -> accept(opened));
    return opened;
  }

  synchronized void cut() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
      } catch (SocketException e) {
        // Closed already.
      }
      close(socket);
    }
    sockets.clear();
  }

  synchronized void heal() throws IOException {
    listener = listen(address);
  }

  private void accept(ServerSocket from) {
    while (!from.isClosed()) {
      try {
        Socket near = from.accept();
        Thread.ofVirtual().start(() -> connect(near, from));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket near, ServerSocket from) {
    try {
      Socket far = new Socket();
      far.connect(destination, 1_000);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      synchronized (this) {
        if (from.isClosed()) {
          near.close();
          far.close();
          return;
        }
        sockets.add(near);
        sockets.add(far);
      }
      Thread.ofVirtual().start(() -> copy(near, far));
      copy(far, near);
    } catch (IOException e) {
      close(near);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16 << 10];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // One of the sides has closed the connection.
    } finally {
      close(from);
      close(to);
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  @Override
  public synchronized void close() throws IOException {
    cut();
  }
}
