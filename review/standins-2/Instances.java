import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Instances of the project's program, started with the command of the deploy file. As on the
 * platform each has an address of its own, so that all of them use the same ports.
 */
final class Instances implements AutoCloseable {
  private static final int METRICS_PORT = 9464;

  private static final long RESTART_MILLIS = 1_000;

  private final List<Process> processes = new CopyOnWriteArrayList<>();
  private final List<Path> settings = new ArrayList<>();
  private final List<String> command;
  private final Path directory;
  private final String network;
  private final int[] ports = new int[4];
  private volatile boolean closed;
  private volatile int ends;

  Instances(Path directory) throws IOException {
    this.directory = directory;
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    this.network = freeNetwork();
    for (int i = 0; i < ports.length; i++) {
      ports[i] = freePort(network + ".1");
    }
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    command = Arrays.asList(run.group(1).split(" "));
  }

  /** Returns the first three numbers of addresses on which the port of the metrics is free. */
  private static String freeNetwork() throws IOException {
    while (true) {
      ThreadLocalRandom random = ThreadLocalRandom.current();
      String network = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250);
      try (ServerSocket probe =
          new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(network + ".1"))) {
        return network;
      } catch (IOException e) {
        // Taken; another network is tried.
      }
    }
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return probe.getLocalPort();
    }
  }

  /** What an instance is told of the others, which it may reach over links. */
  interface Neighbours {
    /** Returns the address at which an instance reaches the store. */
    InetSocketAddress store(int instance);

    /** Returns the IP address at which an instance reaches a seed. */
    String seed(int instance, int seed);
  }

  /** Starts all instances, which reach each other and the store directly. */
  void start(int count, List<String> zones, InetSocketAddress store) throws IOException {
    start(
        count,
        zones,
        new Neighbours() {
          @Override
          public InetSocketAddress store(int instance) {
            return store;
          }

          @Override
          public String seed(int instance, int seed) {
            return ip(seed);
          }
        });
  }

  /** Starts all instances, with the settings that the template of the deploy file renders. */
  void start(int count, List<String> zones, Neighbours neighbours) throws IOException {
    for (int i = 0; i < count; i++) {
      Path file = directory.resolve("settings-" + i + ".json");
      Files.writeString(file, settings(i, count, zones, neighbours));
      settings.add(file);
      add(i);
    }
  }

  private synchronized void add(int index) throws IOException {
    if (!closed) {
      processes.add(launch(index));
    }
  }

  private Process launch(int index) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("MAGNOLIASWITCH_CONFIG", settings.get(index).toString());
    builder.redirectErrorStream(true);
    File log = directory.resolve("instance-" + index + ".log").toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    return builder.start();
  }

  private String settings(int index, int count, List<String> zones, Neighbours neighbours) {
    InetSocketAddress store = neighbours.store(index);
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < Math.min(3, count); i++) {
      seeds.add("\"" + neighbours.seed(index, i) + ":" + ports[2] + "\"");
    }
    List<String> regions = zones.stream().map(zone -> "\"" + zone + "\":\"r\"").toList();
    return """
        {"instance":"front-%d","dataCentre":"%s","callers":"%s:%d","readiness":"%s:%d",
        "peers":"%s:%d","seeds":[%s],"firstStart":true,"metricsPort":%d,"relayPort":"%d",
        "store":"%s:%d","grace":"6s","repeatRatio":"0.2","repeatSlack":"62",
        "repeatWindow":"10s","probesPerServer":"60","coldExcess":"","coldSlack":"",
        "strictRevoke":"","revoke":"","quotaWindow":"","quotaExcess":"","quotaSlack":"",
        "regions":{%s}}"""
        .formatted(
            index,
            zones.get(index % zones.size()),
            ip(index),
            ports[0],
            ip(index),
            ports[1],
            ip(index),
            ports[2],
            String.join(",", seeds),
            METRICS_PORT,
            ports[3],
            store.getAddress().getHostAddress(),
            store.getPort(),
            String.join(",", regions));
  }

  /** The address of an instance. */
  String ip(int index) {
    return network + "." + (index + 1);
  }

  /** The port on which instances tell each other what they know. */
  int peersPort() {
    return ports[2];
  }

  /** The port on which instances open connections for each other. */
  int relayPort() {
    return ports[3];
  }

  int count() {
    return processes.size();
  }

  /** The address that clients connect to. */
  InetSocketAddress front(int index) {
    return new InetSocketAddress(ip(index), ports[0]);
  }

  boolean running(int index) {
    return processes.get(index).isAlive();
  }

  /**
   * Starts each instance again that ends by itself, after a short delay as on the platform.
   *
   * @param ended is told of each such end
   */
  void restartEnded(Consumer<String> ended) {
    Thread.ofPlatform().daemon().start(() -> watch(ended));
  }

  private void watch(Consumer<String> ended) {
    try {
      while (!closed) {
        for (int i = 0; i < processes.size(); i++) {
          if (!closed && !processes.get(i).isAlive()) {
            ends++;
            Path log = directory.resolve("instance-" + i + ".log");
            String last = Files.readAllLines(log).getLast();
            ended.accept("the process of instance " + i + " has ended by itself: " + last);
            TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
            restart(i);
          }
        }
        TimeUnit.MILLISECONDS.sleep(20);
      }
    } catch (IOException e) {
      ended.accept("an instance cannot be started again: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void restart(int index) throws IOException {
    if (!closed) {
      processes.set(index, launch(index));
    }
  }

  /** How many times an instance has ended by itself. */
  int ends() {
    return ends;
  }

  /** Waits until all instances are ready; false if that takes too long. */
  boolean awaitReady(long limitMillis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    for (int i = 0; i < processes.size(); i++) {
      while (!ready(i)) {
        if (System.nanoTime() > end || !processes.get(i).isAlive()) {
          return false;
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
    return true;
  }

  private boolean ready(int index) {
    try (Socket socket = new Socket(ip(index), ports[1])) {
      socket.getOutputStream().write(Http.bytes("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
      Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
      return answer != null && answer.second().equals("200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends all processes; called also when the script itself is stopped. */
  private synchronized void endAll() {
    closed = true;
    processes.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() {
    endAll();
    for (Process process : processes) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    File[] files = directory.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      file.delete();
    }
    directory.toFile().delete();
  }
}
