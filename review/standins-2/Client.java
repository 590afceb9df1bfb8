import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

/** Clients that keep connections open, or open a new one for each request. */
final class Client {
  /** Stands for the status of a request whose connection ended without an answer. */
  static final int CUT = -1;

  /** Stands for the status of a request whose deadline passed without an answer. */
  static final int LATE = 0;

  /** Stands for the status of a request that was cut on a connection that had carried others. */
  static final int CUT_KEPT = -2;

  /** How a request ended. */
  record Answer(int status, String seal, String attempt, byte[] body) {
    static final Answer NONE = new Answer(CUT, "", "", new byte[0]);
    static final Answer NONE_ON_KEPT = new Answer(CUT_KEPT, "", "", new byte[0]);
    static final Answer TOO_LATE = new Answer(LATE, "", "", new byte[0]);
  }

  private static final int PART_BYTES = 64 << 10;

  private record Connection(Socket socket, InputStream in) {}

  private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();
  private final boolean keeps;
  private final double bytesPerSecond;

  Client(boolean keeps) {
    this(keeps, Double.POSITIVE_INFINITY);
  }

  /**
   * Creates clients.
   *
   * @param keeps whether they keep their connections open
   * @param bytesPerSecond how fast each of them sends
   */
  Client(boolean keeps, double bytesPerSecond) {
    this.keeps = keeps;
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Sends a request and waits for its answer until the deadline. */
  Answer send(
      InetSocketAddress front, String method, String path, String attempt, int deadline, byte[] body)
      throws IOException {
    Connection connection = take(front);
    boolean reused = connection != null;
    if (connection == null) {
      Socket socket = new Socket();
      socket.connect(front, 1_000);
      socket.setTcpNoDelay(true);
      connection = new Connection(socket, Http.buffered(socket.getInputStream()));
    }
    boolean kept = false;
    try {
      connection.socket().setSoTimeout(deadline);
      String headers =
          "Host: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n".formatted(attempt, deadline);
      write(connection, Http.message(method + " " + path + " HTTP/1.1", headers, body));
      Http.Message answer = Http.read(connection.in());
      if (answer == null) {
        return reused ? Answer.NONE_ON_KEPT : Answer.NONE;
      }
      kept = keeps && !answer.closes();
      return new Answer(
          Integer.parseInt(answer.second()),
          answer.header("response-seal"),
          answer.header("attempt-id"),
          answer.body());
    } catch (SocketTimeoutException e) {
      return Answer.TOO_LATE;
    } catch (IOException e) {
      return reused ? Answer.NONE_ON_KEPT : Answer.NONE;
    } finally {
      if (kept) {
        synchronized (idle) {
          idle.computeIfAbsent(front, unused -> new ArrayDeque<>()).push(connection);
        }
      } else {
        connection.socket().close();
      }
    }
  }

  /** Writes a message no faster than the client's link allows, until there is an answer. */
  private void write(Connection connection, byte[] message) throws IOException {
    OutputStream out = connection.socket().getOutputStream();
    long begin = System.nanoTime();
    for (int sent = 0; sent < message.length; sent += PART_BYTES) {
      if (connection.in().available() > 0) {
        return;
      }
      out.write(message, sent, Math.min(PART_BYTES, message.length - sent));
      long due = begin + (long) (1e9 * sent / bytesPerSecond);
      LockSupport.parkNanos(due - System.nanoTime());
    }
  }

  private Connection take(InetSocketAddress front) {
    synchronized (idle) {
      Deque<Connection> open = idle.get(front);
      return open == null ? null : open.poll();
    }
  }
}
