import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The platform's store, as PROTOCOL.md describes it: rows, feeds and transactions. */
final class StoreStandin implements AutoCloseable {
  private static final long ANSWER_MILLIS = 4;
  private static final int MAX_ROWS = 500;

  private record Row(String table, String key, String value, long version, boolean removed) {
    String json() {
      return "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\",\"ver\":%d%s}"
          .formatted(table, key, value, version, removed ? ",\"removed\":true" : "");
    }
  }

  private final ServerSocket listener;
  private final long startNanos = System.nanoTime();
  private final Map<String, Row> rows = new TreeMap<>();
  private long version = 1;

  StoreStandin(String ip) throws IOException {
    listener = new ServerSocket(0, 100, InetAddress.getByName(ip));
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Writes a row as the operator or a target; when it returns, the write is acknowledged. */
  synchronized void put(String table, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    putEncoded(table, key, Base64.getEncoder().encodeToString(bytes));
  }

  private synchronized void putEncoded(String table, String key, String value) {
    version++;
    rows.put(table + "\n" + key, new Row(table, key, value, version, false));
    notifyAll();
  }

  /** Removes a row; when it returns, the removal is acknowledged. */
  synchronized void remove(String table, String key) {
    version++;
    rows.put(table + "\n" + key, new Row(table, key, "", version, true));
    notifyAll();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
        TimeUnit.MILLISECONDS.sleep(ANSWER_MILLIS);
        socket.getOutputStream().write(answer(call));
      }
    } catch (IOException | InterruptedException e) {
      // The caller has closed the connection.
    }
  }

  private byte[] answer(Http.Message call) throws InterruptedException {
    String[] target = call.second().split("\\?", 2);
    Map<String, String> query = new TreeMap<>();
    if (target.length > 1) {
      for (String pair : target[1].split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return switch (target[0]) {
      case "/-/rows-get" -> get(query);
      case "/-/rows-feed" -> feed(query);
      case "/-/rows-tx" -> transaction(new String(call.body(), StandardCharsets.UTF_8));
      default -> json(404, "{}");
    };
  }

  private synchronized byte[] get(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    List<String> found = new ArrayList<>();
    boolean truncated = false;
    for (Row row : rows.values()) {
      if (!row.removed() && row.table().equals(query.get("table")) && row.key().compareTo(from) >= 0) {
        truncated = found.size() == limit;
        if (truncated) {
          break;
        }
        found.add(row.json());
      }
    }
    return answer(found, truncated);
  }

  private synchronized byte[] feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
    while (true) {
      List<String> changed = new ArrayList<>();
      rows.values().stream()
          .filter(row -> row.table().equals(query.get("table")) && row.version() > after)
          .sorted((a, b) -> Long.compare(a.version(), b.version()))
          .forEach(row -> changed.add(row.json()));
      long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (!changed.isEmpty() || left <= 0) {
        return answer(changed, false);
      }
      wait(left);
    }
  }

  /** Applies the unconditional puts and removals that the instances send. */
  private synchronized byte[] transaction(String body) {
    int removals = body.indexOf("\"remove\"");
    var entry =
        java.util.regex.Pattern.compile(
            "\"table\":\"([^\"]*)\"[^}]*?\"key\":\"([^\"]*)\"(?:,\"value\":\"([^\"]*)\")?");
    var matcher = entry.matcher(body);
    while (matcher.find()) {
      if (matcher.start() < removals && matcher.group(3) != null) {
        putEncoded(matcher.group(1), matcher.group(2), matcher.group(3));
      } else if (matcher.start() > removals) {
        remove(matcher.group(1), matcher.group(2));
      }
    }
    return json(200, "{\"ver\":%d,\"now\":\"%dms\"}".formatted(version, nowMillis()));
  }

  private byte[] answer(List<String> found, boolean truncated) {
    return json(
        200,
        "{\"rows\":[%s],\"truncated\":%s,\"ver\":%d,\"now\":\"%dms\"}"
            .formatted(String.join(",", found), truncated, version, nowMillis()));
  }

  private long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private static byte[] json(int status, String body) {
    return Http.message(
        "HTTP/1.1 " + status + " X",
        "Content-Type: application/json\r\n",
        body.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
