import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts instances with the command and the settings template of the deploy file. */
final class Instances implements AutoCloseable {
  private final Path root;
  private final Path folder;
  private final String store;
  private final int front = freePort();
  private final int ready = freePort();
  private final int control = freePort();
  private final int metrics = freePort();
  private final int relay = freePort();
  private final List<String> ips;
  private final List<Process> processes = new ArrayList<>();

  /**
   * Creates instances that are not started yet.
   *
   * @param root root of the repository
   * @param folder for settings and logs
   */
  Instances(Path root, Path folder, String store, List<String> ips) throws IOException {
    this.root = root;
    this.folder = folder;
    this.store = store;
    this.ips = ips;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Returns a free port of the loopback interface. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  int front() {
    return front;
  }

  String ip(int index) {
    return ips.get(index);
  }

  Process process(int index) {
    return processes.get(index);
  }

  void startAll() throws IOException, InterruptedException {
    for (int i = 0; i < ips.size(); i++) {
      processes.add(start(i));
    }
    for (String ip : ips) {
      awaitReady(ip);
    }
  }

  private Process start(int index) throws IOException {
    Path settings = folder.resolve("front-" + index + ".json");
    Files.writeString(settings, settings(index));
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run line in the deploy file");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(root.toFile());
    builder.environment().put("MAGNOLIASWITCH_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve("front-" + index + ".log").toFile());
    return builder.start();
  }

  /** Renders the template of the settings for one instance. */
  private String settings(int index) throws IOException {
    String ip = ips.get(index);
    Map<String, String> values = new LinkedHashMap<>();
    values.put("node_name|json", "\"front-" + index + "\"");
    values.put("zone|json", "\"hall\"");
    values.put("bind.front|json", "\"" + ip + ":" + front + "\"");
    values.put("bind.ready|json", "\"" + ip + ":" + ready + "\"");
    values.put("bind.control|json", "\"" + ip + ":" + control + "\"");
    List<String> seeds = ips.stream().limit(3).map(s -> "\"" + s + ":" + control + "\"").toList();
    values.put("seed_nodes|json", "[" + String.join(",", seeds) + "]");
    values.put("bootstrap|json", "true");
    values.put("port_range.0", String.valueOf(relay));
    values.put("provider.address|json", "\"" + store + "\"");
    values.put("bounds.grace", "6s");
    values.put("bounds.budget_ratio", "0.2");
    values.put("bounds.budget_slack", "62");
    values.put("bounds.budget_window", "10s");
    values.put("bounds.probes_per_s", "60.0");
    values.put("zones|json", "{\"hall\":\"region\"}");
    String template = Files.readString(root.resolve("deploy/settings.json.template"));
    Matcher placeholder = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(template);
    String rendered =
        placeholder.replaceAll(
            found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
    return rendered.replace("\"metricsPort\": 9464", "\"metricsPort\": " + metrics);
  }

  private void awaitReady(String ip) throws IOException, InterruptedException {
    long end = System.nanoTime() + 30_000_000_000L;
    while (System.nanoTime() < end) {
      try (Socket socket = new Socket(ip, ready)) {
        socket.getOutputStream().write(Http.bytes("GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n"));
        Http.Message answer = Http.read(socket.getInputStream());
        if (answer != null && answer.status() == 200) {
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Thread.sleep(50);
    }
    throw new IOException("instance " + ip + " does not become ready");
  }

  /** Returns the value of a metric of an instance, 0 if there is none. */
  long metric(int index, String name) throws IOException {
    try (Socket socket = new Socket(ips.get(index), metrics)) {
      socket.getOutputStream().write(Http.bytes("GET /metrics HTTP/1.1\r\nHost: r\r\n\r\n"));
      Http.Message answer = Http.read(socket.getInputStream());
      String text = answer == null ? "" : new String(answer.body());
      return text.lines()
          .filter(line -> line.startsWith(name))
          .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
          .sum();
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
