import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 5: clients send small requests on connections that they keep, and beside them
 * a client sends a few bodies that are large, but within the limits of the configuration. No
 * process may end, and no request that a target runs may lose its connection without an answer.
 */
final class LargeBodies {
  private static final int INSTANCES = 3;
  private static final int TARGETS = 9;
  private static final Target.Work WORK = new Target.Work(6, 12, 150, 0, true);
  private static final int REQUESTS_PER_SECOND = 150;
  private static final int SMALL_BODY_BYTES = 300;

  /** The limit of the configuration. */
  private static final int MAX_BODY_BYTES = 67_108_864;

  private static final int LARGE_BODY_BYTES = 32_000_000;
  private static final int LARGE_CLIENTS = 6;

  /** How fast each of these clients sends; together they stay below 1,000 Mbit/s. */
  private static final double BYTES_PER_SECOND = 20e6;

  /** Bodies that each of these clients sends, one after the other. */
  private static final int LARGE_BODIES = 30;

  private static final long PAUSE_MILLIS = 10;
  private static final long PAUSE_AFTER_CUT_MILLIS = 1_500;
  private static final int DEADLINE_MILLIS = 2_500;

  /** Requests that may lose their connection, by the rule. */
  private static final int MAX_LOST = 3;

  private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");

  private static final String CONFIGURATION =
      """
      {"config_version":7,"routes":{"r1":{"host":"desk.example","prefix":"/new/",\
      "route_type":"unsafe","timeout":"2500ms","slo":"400ms","priority":1,"backend":"booking",\
      "max_attempts":2}},"services":{"booking":{"health_path":"/health","max_conns":260}},\
      "limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3000ms",\
      "idle_timeout":"15000ms"}}"""
          .formatted(MAX_BODY_BYTES);

  private final Record record;
  private final boolean trouble;
  private final Map<String, String> runs = new ConcurrentHashMap<>();
  private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
  private final Map<Integer, AtomicInteger> largeStatuses = new ConcurrentHashMap<>();
  private final List<String> cut = java.util.Collections.synchronizedList(new ArrayList<>());
  private volatile boolean ended;

  private LargeBodies(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    Path temporary = Files.createTempDirectory("review-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(folder.resolve("record.txt"))) {
      exit = new LargeBodies(record, trouble).play(temporary);
    } catch (Exception | Error e) {
      // A case that could not be played says nothing of the rule.
      System.out.println("the case could not run: " + e);
    }
    System.exit(exit);
  }

  private int play(Path temporary) throws IOException, InterruptedException {
    List<Target> targets = new ArrayList<>();
    int ends = 0;
    try (StoreStandin store = new StoreStandin("127.0.0.1");
        Instances instances = new Instances(temporary)) {
      store.put("op", "config", CONFIGURATION);
      for (int i = 0; i < TARGETS; i++) {
        Target target =
            new Target(
                "i-%04x".formatted(0x7f00 + i),
                "booking",
                ZONES.get(i % ZONES.size()),
                "127.0.0.1",
                WORK,
                Target.SOUND,
                this::started);
        targets.add(target);
        store.put("servers", target.id(), target.entry());
      }
      instances.start(INSTANCES, ZONES, store.address());
      if (!instances.awaitReady(20_000)) {
        record.result("the instances did not become ready");
        return 2;
      }
      Thread.ofVirtual().start(() -> beat(store, targets));
      instances.restartEnded(what -> record.result("%s", what));
      Thread load = Thread.ofPlatform().start(() -> load(instances));
      TimeUnit.SECONDS.sleep(4);
      try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
        for (int i = 0; i < LARGE_CLIENTS; i++) {
          clients.submit(() -> sendLargeBodies(instances));
        }
      }
      TimeUnit.SECONDS.sleep(3);
      ended = true;
      load.join();
      ends = instances.ends();
    } finally {
      for (Target target : targets) {
        target.close();
      }
    }
    return judge(ends);
  }

  private void beat(StoreStandin store, List<Target> targets) {
    try {
      while (!ended) {
        TimeUnit.MILLISECONDS.sleep(1_500);
        targets.forEach(target -> store.put("servers", target.id(), target.entry()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void started(Target target, Http.Message request) {
    record.line("%s runs %s", target.id(), request.header("attempt-id"));
    runs.put(request.header("attempt-id"), target.id());
  }

  /**
   * Sends large bodies one after the other, each on a connection of its own. All of these clients
   * belong to one machine, or to the next one while that is not running.
   */
  private Void sendLargeBodies(Instances instances) throws InterruptedException {
    Client client = new Client(false, BYTES_PER_SECOND);
    byte[] body = new byte[trouble ? LARGE_BODY_BYTES : SMALL_BODY_BYTES];
    Arrays.fill(body, (byte) 'l');
    for (int i = 0; i < LARGE_BODIES; i++) {
      int front = 0;
      while (!instances.running(front) && front < INSTANCES - 1) {
        front++;
      }
      String attempt = "%016x".formatted(ThreadLocalRandom.current().nextLong());
      record.line("client sends %s with %d bytes to instance %d", attempt, body.length, front);
      int status = send(client, instances, front, attempt, body);
      record.line("client gets %d for %s", status, attempt);
      largeStatuses.computeIfAbsent(status, unused -> new AtomicInteger()).incrementAndGet();
      TimeUnit.MILLISECONDS.sleep(status < 0 ? PAUSE_AFTER_CUT_MILLIS : PAUSE_MILLIS);
    }
    return null;
  }

  private void load(Instances instances) {
    Client client = new Client(true);
    byte[] body = new byte[SMALL_BODY_BYTES];
    Arrays.fill(body, (byte) 'b');
    long gapNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
    try (ExecutorService requests = Executors.newVirtualThreadPerTaskExecutor()) {
      for (long next = System.nanoTime(); !ended; next += gapNanos) {
        long wait = next - System.nanoTime();
        if (wait > 0) {
          TimeUnit.NANOSECONDS.sleep(wait);
        }
        int front = ThreadLocalRandom.current().nextInt(INSTANCES);
        if (!instances.running(front)) {
          // The platform sends no clients to a machine that does not answer its checks.
          continue;
        }
        String attempt = "%016x".formatted(ThreadLocalRandom.current().nextLong());
        requests.submit(() -> sendSmall(client, instances, front, attempt, body));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendSmall(
      Client client, Instances instances, int front, String attempt, byte[] body) {
    record.line("client sends %s to instance %d", attempt, front);
    int status = send(client, instances, front, attempt, body);
    record.line("client gets %d for %s", status, attempt);
    statuses.computeIfAbsent(status, unused -> new AtomicInteger()).incrementAndGet();
    if (status == Client.CUT_KEPT && runs.containsKey(attempt)) {
      record.line("LOST: %s ran at %s and got no answer", attempt, runs.get(attempt));
      cut.add(attempt);
    }
  }

  private static int send(
      Client client, Instances instances, int front, String attempt, byte[] body) {
    try {
      return client
          .send(instances.front(front), "POST", "/new/x", attempt, DEADLINE_MILLIS, body)
          .status();
    } catch (IOException e) {
      return Client.CUT;
    }
  }

  private int judge(int ends) {
    int answered = statuses.getOrDefault(200, new AtomicInteger()).get();
    int sent = statuses.values().stream().mapToInt(AtomicInteger::get).sum();
    record.result(
        "requests=%d statuses=%s large_bodies=%s processes_ended=%d lost=%d",
        sent, new TreeMap<>(statuses), new TreeMap<>(largeStatuses), ends, cut.size());
    if (answered < sent / 4) {
      record.result("too few requests were answered for a result");
      return 2;
    }
    return cut.size() > MAX_LOST ? 1 : 0;
  }
}
