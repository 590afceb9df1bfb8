import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: reads of rows and the feed; transactions are acknowledged. */
final class Store {
  private record Row(String table, String key, String value, long version, boolean removed) {}

  private final ServerSocket listener;
  private final Map<String, Row> rows = new TreeMap<>();
  private long version = 1;

  Store(String ip) throws IOException {
    listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
    Thread.ofVirtual().start(this::accept);
  }

  String address() {
    InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  synchronized void put(String table, String key, String value) {
    change(new Row(table, key, value, ++version, false));
  }

  synchronized void remove(String table, String key) {
    change(new Row(table, key, "", ++version, true));
  }

  private void change(Row row) {
    rows.put(row.table() + "/" + row.key(), row);
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
      Http.Message request = Http.read(socket.getInputStream());
      while (request != null) {
        byte[] body = answer(request).getBytes(StandardCharsets.UTF_8);
        byte[] head =
            Http.bytes(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length
                    + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        Thread.sleep(4);
        socket.getOutputStream().write(all);
        request = Http.read(socket.getInputStream());
      }
    } catch (IOException | InterruptedException e) {
      return;
    }
  }

  private String answer(Http.Message request) throws InterruptedException {
    Map<String, String> query = new HashMap<>();
    String target = request.target();
    for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        query.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    if (target.startsWith("/-/rows-get")) {
      return json(query.get("table"), 0, false);
    }
    if (target.startsWith("/-/rows-feed")) {
      return feed(query);
    }
    synchronized (this) {
      version++;
      return "{\"ver\":" + version + ",\"now\":\"1ms\"}";
    }
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (!changed(query.get("table"), after) && System.nanoTime() < end) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
    }
    return json(query.get("table"), after, true);
  }

  private boolean changed(String table, long after) {
    return rows.values().stream().anyMatch(r -> r.table().equals(table) && r.version() > after);
  }

  private synchronized String json(String table, long after, boolean withRemoved) {
    List<String> parts = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.table().equals(table)
          && row.version() > after
          && (withRemoved || !row.removed())) {
        String value =
            Base64.getEncoder().encodeToString(row.value().getBytes(StandardCharsets.UTF_8));
        parts.add(
            "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\",\"ver\":%d%s}"
                .formatted(
                    row.table(),
                    row.key(),
                    value,
                    row.version(),
                    row.removed() ? ",\"removed\":true" : ""));
      }
    }
    return "{\"rows\":[%s],\"truncated\":false,\"ver\":%d,\"now\":\"1ms\"}"
        .formatted(String.join(",", parts), version);
  }
}
