import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A client fetches files on one connection and reads them at the speed of its link, while the
 * instance that took its requests gets SIGTERM.
 */
final class SlowReader {
  private static final int TARGETS = 12;
  private static final int SLOTS = 3;
  private static final double WORK_MILLIS = 130;
  private static final int FILE_BYTES = 540_000;
  private static final int FILES = 48;
  private static final long DEADLINE_MILLIS = 10_000;
  private static final double BYTES_PER_SECOND = 5e6;
  private static final long SIGNAL_DELAY_MILLIS = 200;
  private static final int ROUNDS = 3;

  private SlowReader() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]).toAbsolutePath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review");
    int result;
    try (Record record = new Record(Path.of(arguments[1]))) {
      int lost = 0;
      for (int round = 0; round < ROUNDS; round++) {
        lost += play(root, folder, record, trouble, round);
      }
      System.out.println("files " + ROUNDS * FILES + " lost " + lost);
      record.line("result", "lost", lost);
      result = lost > 0 ? 1 : 0;
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
      result = 2;
    }
    System.out.println("logs: " + folder);
    System.exit(result);
  }

  /** Plays one round with new processes; returns the number of files that were cut off. */
  private static int play(Path root, Path folder, Record record, boolean trouble, int round)
      throws IOException, InterruptedException {
    String net = "127." + (64 + new Random().nextInt(128)) + "." + new Random().nextInt(256);
    Store store = new Store(net + ".10");
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      Target target =
          new Target(
              store, record, "t-" + i, "archive", SLOTS, WORK_MILLIS, FILE_BYTES, 10L * round + i);
      target.register();
      targets.add(target);
    }
    store.put("op", "config", configuration());
    Path logs = Files.createDirectory(folder.resolve("round-" + round));
    List<String> ips = List.of(net + ".1", net + ".2", net + ".3");
    try (Instances instances = new Instances(root, logs, store.address(), ips)) {
      instances.startAll();
      warmUp(instances, record, round);
      return fetch(instances, targets, record, trouble, round);
    } finally {
      for (Target target : targets) {
        target.close();
      }
    }
  }

  private static String configuration() {
    return """
        {"config_version":7,"routes":{
        "files":{"host":"files.example","prefix":"/history/","route_type":"download",
        "timeout":"10000ms","slo":"2000ms","priority":2,"max_attempts":2,"backend":"archive"}},
        "services":{"archive":{"health_path":"/health","max_conns":880,"protocol":"h1",
        "tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
        "header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":5}""";
  }

  /** Lets the instance open connections to its targets and learn their latency. */
  private static void warmUp(Instances instances, Record record, int round)
      throws IOException, InterruptedException {
    for (int i = 0; i < 20; i++) {
      try (Socket socket = new Socket(instances.ip(0), instances.front())) {
        String id = "warm-" + round + "-" + i;
        record.line("sent", id);
        socket.getOutputStream().write(request(id));
        Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
        record.line("answer", id, answer == null ? "none" : answer.status());
      }
    }
    Thread.sleep(500);
  }

  private static byte[] request(String id) {
    return Http.bytes(
        "GET /history/%s HTTP/1.1\r\nHost: files.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n"
            .formatted(id, id, DEADLINE_MILLIS));
  }

  /**
   * Fetches the files; returns the number of those that got no whole answer, refusals included,
   * before the connection ended. A file behind an answer that closes the connection counts as not
   * read and isn't one of them.
   */
  private static int fetch(
      Instances instances, List<Target> targets, Record record, boolean trouble, int round)
      throws IOException, InterruptedException {
    int answered = 0;
    boolean closeTold = false;
    int before = answered(targets);
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(64 << 10);
      socket.connect(new InetSocketAddress(instances.ip(0), instances.front()));
      OutputStream out = socket.getOutputStream();
      long sent = System.nanoTime();
      for (int i = 0; i < FILES; i++) {
        record.line("sent", id(round, i));
        out.write(request(id(round, i)));
      }
      if (trouble) {
        Thread.ofVirtual().start(() -> terminate(instances, targets, before + FILES, record));
      }
      InputStream in = new BufferedInputStream(new SlowStream(socket.getInputStream()), 16 << 10);
      try {
        for (int i = 0; i < FILES; i++) {
          Http.Message answer = Http.read(in);
          if (answer == null) {
            record.line("closed", id(round, i), "ms", (System.nanoTime() - sent) / 1_000_000);
            break;
          }
          closeTold |= answer.header("connection").equalsIgnoreCase("close");
          answered++;
          record.line(
              "answer",
              id(round, i),
              answer.status(),
              answer.body().length,
              answer.header("connection"),
              "ms",
              (System.nanoTime() - sent) / 1_000_000);
        }
      } catch (IOException e) {
        record.line("cut", id(round, answered), e, "ms", (System.nanoTime() - sent) / 1_000_000);
      }
    }
    return closeTold ? 0 : FILES - answered;
  }

  private static int answered(List<Target> targets) {
    return targets.stream().mapToInt(Target::answered).sum();
  }

  private static String id(int round, int file) {
    return "file-" + round + "-" + file;
  }

  /** Sends SIGTERM shortly after the targets have answered all requests. */
  private static void terminate(
      Instances instances, List<Target> targets, int expected, Record record) {
    try {
      while (answered(targets) < expected) {
        Thread.sleep(5);
      }
      Thread.sleep(SIGNAL_DELAY_MILLIS);
      long pid = instances.process(0).pid();
      new ProcessBuilder("kill", "-TERM", String.valueOf(pid)).start().waitFor();
      record.line("SIGTERM", pid);
      instances.process(0).waitFor();
      record.line("exited", pid);
    } catch (IOException | InterruptedException e) {
      record.line("signal_failed", e);
    }
  }

  /** A stream that is read no faster than the client's link allows. */
  private static final class SlowStream extends FilterInputStream {
    private final long start = System.nanoTime();
    private long bytes;

    SlowStream(InputStream in) {
      super(in);
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
      long due = start + (long) (bytes / BYTES_PER_SECOND * 1e9);
      long wait = (due - System.nanoTime()) / 1_000_000;
      if (wait > 0) {
        try {
          Thread.sleep(wait);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      int read = super.read(target, offset, Math.min(length, 16 << 10));
      bytes += Math.max(0, read);
      return read;
    }
  }
}
