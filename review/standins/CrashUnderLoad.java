import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Two of fifteen targets of a service crash at the same moment, several times, while the service is
 * asked for more than it serves. Half of the requests ask for the next piece of work and are alike.
 */
final class CrashUnderLoad {
  private static final int TARGETS = 15;
  private static final int SLOTS = 6;
  private static final double WORK_MILLIS = 745;
  private static final int CRASHED_AT_ONCE = 2;
  private static final int ROUNDS = 17;
  private static final long DEADLINE_MILLIS = 5_010;
  private static final int CLIENTS = 150;

  /** Share of the attempts that one of the three instances gets; the platform spreads unevenly. */
  private static final double FIRST_INSTANCE_SHARE = 0.6;

  /** Share of the requests that have the same path and body. */
  private static final double ALIKE_SHARE = 0.5;

  private final Path root;
  private final Path folder;
  private final boolean trouble;
  private final AtomicBoolean stop = new AtomicBoolean();

  private CrashUnderLoad(Path root, Path folder, boolean trouble) {
    this.root = root;
    this.folder = folder;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]).toAbsolutePath();
    Path recordFile = Path.of(arguments[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review");
    int result;
    try {
      try (Record record = new Record(recordFile)) {
        new CrashUnderLoad(root, folder, trouble).play(record);
      }
      result = Judge.judge(recordFile);
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
      result = 2;
    }
    System.out.println("logs: " + folder);
    System.exit(result);
  }

  private void play(Record record) throws IOException, InterruptedException {
    String net = "127." + (64 + new Random().nextInt(128)) + "." + new Random().nextInt(256);
    Store store = new Store(net + ".10");
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      Target target = new Target(store, record, "t-" + i, "desk", SLOTS, WORK_MILLIS, i);
      target.register();
      targets.add(target);
    }
    store.put("op", "config", configuration());
    List<String> ips = List.of(net + ".1", net + ".2", net + ".3");
    try (Instances instances = new Instances(root, folder, store.address(), ips)) {
      instances.startAll();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        int client = i;
        threads.add(Thread.ofVirtual().start(() -> client(client, instances, record)));
        Thread.sleep(5);
      }
      Thread.sleep(4_000);
      int next = 0;
      for (int round = 0; round < ROUNDS; round++) {
        List<Target> ended = new ArrayList<>();
        for (int i = 0; i < CRASHED_AT_ONCE && trouble; i++) {
          ended.add(targets.get((next + i) % TARGETS));
        }
        for (Target target : ended) {
          target.crash();
        }
        Thread.sleep(4_500);
        for (Target target : ended) {
          store.remove("servers", target.id());
          int position = targets.indexOf(target);
          String id = "t-" + position + "-" + (round + 1);
          Target restarted =
              new Target(store, record, id, "desk", SLOTS, WORK_MILLIS, 100L * round + position);
          restarted.register();
          targets.set(position, restarted);
        }
        next += CRASHED_AT_ONCE;
        Thread.sleep(800);
      }
      stop.set(true);
      for (Thread thread : threads) {
        thread.join();
      }
    }
  }

  private static String configuration() {
    return """
        {"config_version":7,"routes":{
        "next":{"host":"desk.example","prefix":"/next/","route_type":"unsafe","timeout":"5000ms",
        "slo":"2000ms","priority":1,"max_attempts":2,"backend":"desk"}},
        "services":{"desk":{"health_path":"/health","max_conns":260,"protocol":"h1","tls":false}},
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",
        "idle_timeout":"15000ms"},"base_version":5}""";
  }

  /** A client that repeats a refused request once, on another connection, as it is told. */
  private void client(int number, Instances instances, Record record) {
    Random random = new Random(number);
    int request = 0;
    while (!stop.get()) {
      boolean same = random.nextDouble() < ALIKE_SHARE;
      String path = same ? "/next/call" : "/next/" + number + "-" + request;
      long end = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
      for (int attempt = 0; attempt < 2; attempt++) {
        String id = "%03d-%05d-%d".formatted(number, request, attempt);
        long left = (end - System.nanoTime()) / 1_000_000;
        long pause = left < 50 ? -1 : send(id, path, left, instances, random, record);
        if (pause < 0 || pause > left / 3) {
          break;
        }
        sleep(pause);
      }
      request++;
      sleep(random.nextInt(100));
    }
  }

  /** Sends one attempt; returns the time after which it may be repeated, negative if never. */
  private long send(
      String id, String path, long left, Instances instances, Random random, Record record) {
    boolean first = random.nextDouble() < FIRST_INSTANCE_SHARE;
    String ip = instances.ip(first ? 0 : 1 + random.nextInt(2));
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(ip, instances.front()), 1_000);
      socket.setSoTimeout((int) left + 2_000);
      record.line("sent", id, path, ip);
      socket
          .getOutputStream()
          .write(
              Http.bytes(
                  "POST %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 4\r\n\r\nnext"
                      .formatted(path, id, left)));
      Http.Message answer = Http.read(socket.getInputStream());
      if (answer == null) {
        record.line("closed", id);
        return -1;
      }
      record.line("answer", id, answer.status(), new String(answer.body()).replace(' ', '_'));
      String retryAfter = answer.header("retry-after");
      return answer.status() == 503 && !retryAfter.isEmpty()
          ? (long) (Double.parseDouble(retryAfter) * 1_000)
          : -1;
    } catch (IOException e) {
      record.line("failed", id, e.getClass().getSimpleName());
      return -1;
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
