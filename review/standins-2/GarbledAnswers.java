import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Case 4: some targets send further bytes after some of their complete answers. Clients send unsafe
 * requests; each must run once at most, and be answered with what its target gave.
 *
 * <p>Arguments: the folder of the case, and which bytes the targets send:
 *
 * <ul>
 *   <li>{@code copy}: the whole answer once more, where the next answer is expected
 *   <li>{@code head}: the beginning of a rejection, right after the answer
 * </ul>
 */
final class GarbledAnswers {
  private static final int INSTANCES = 3;
  private static final int TARGETS = 4;

  /** Share of the targets that are faulty, and of their answers after which they send more. */
  private static final double FAULTY_TARGETS = 0.5;

  private static final double GARBLED = 0.03;

  /** The fault lasts for the first five of each six seconds. */
  private static final long PERIOD_MILLIS = 6_000;

  private static final long FAULT_MILLIS = 5_000;

  private static final int SLOTS = 2;
  private static final int QUEUE = 1;
  private static final int WORK_MILLIS = 30;
  private static final int REQUESTS_PER_SECOND = 220;
  private static final int DEADLINE_MILLIS = 1_000;
  private static final long LOAD_SECONDS = 60;
  private static final int BODY_BYTES = 300;
  private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");
  /** The rejection of the wire examples, broken off within its head. */
  private static final byte[] BEGUN_REJECTION =
      Http.bytes("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1");

  private static final String CONFIGURATION =
      """
      {"config_version":7,"routes":{"r1":{"host":"desk.example","prefix":"/new/",\
      "route_type":"unsafe","timeout":"1000ms","slo":"400ms","priority":1,"backend":"booking",\
      "max_attempts":2}},"services":{"booking":{"health_path":"/health","max_conns":260}},\
      "limits":{"max_header_bytes":8192,"max_body_bytes":262144,"header_timeout":"5s",\
      "idle_timeout":"30s"}}""";

  private final Record record;
  private final boolean trouble;
  private final boolean copies;
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
  private final Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
  private final long startNanos = System.nanoTime();

  private GarbledAnswers(Record record, boolean trouble, boolean copies) {
    this.record = record;
    this.trouble = trouble;
    this.copies = copies;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    Path temporary = Files.createTempDirectory("review-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(folder.resolve("record.txt"))) {
      exit = new GarbledAnswers(record, trouble, arguments[1].equals("copy")).play(temporary);
    } catch (Exception | Error e) {
      // A case that could not be played says nothing of the rule.
      System.out.println("the case could not run: " + e);
    }
    System.exit(exit);
  }

  private int play(Path temporary) throws IOException, InterruptedException {
    List<Target> targets = new ArrayList<>();
    try (StoreStandin store = new StoreStandin("127.0.0.1");
        Instances instances = new Instances(temporary)) {
      store.put("op", "config", CONFIGURATION);
      for (int i = 0; i < TARGETS; i++) {
        boolean faulty = trouble && i < FAULTY_TARGETS * TARGETS;
        Target target =
            new Target(
                "i-%04x".formatted(0x7f00 + i),
                "booking",
                ZONES.get(i % ZONES.size()),
                "127.0.0.1",
                new Target.Work(SLOTS, QUEUE, WORK_MILLIS, 0, !copies),
                faulty ? new FurtherBytes() : Target.SOUND,
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
      load(instances);
      for (int i = 0; i < INSTANCES; i++) {
        if (!instances.running(i)) {
          record.result("instance %d has ended", i);
        }
      }
    } finally {
      for (Target target : targets) {
        target.close();
      }
    }
    return judge(targets);
  }

  private static void beat(StoreStandin store, List<Target> targets) {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(1_500);
        targets.forEach(target -> store.put("servers", target.id(), target.entry()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends further bytes after some answers. */
  private final class FurtherBytes implements Target.Fault {
    @Override
    public byte[] extra(Target target, byte[] answer) {
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      boolean active = millis % PERIOD_MILLIS < FAULT_MILLIS;
      if (!active || ThreadLocalRandom.current().nextDouble() >= GARBLED) {
        return new byte[0];
      }
      byte[] extra = copies ? answer : BEGUN_REJECTION;
      String answered = new String(answer, 0, 12, java.nio.charset.StandardCharsets.ISO_8859_1);
      record.line("%s sends %d more bytes after an answer %s", target.id(), extra.length, answered);
      return extra;
    }

    @Override
    public boolean late() {
      return copies;
    }
  }

  private void started(Target target, Http.Message request) {
    String attempt = request.header("attempt-id");
    record.line("%s runs %s", target.id(), attempt);
    runs.computeIfAbsent(attempt, unused -> new CopyOnWriteArrayList<>()).add(target.id());
  }

  private void load(Instances instances) throws InterruptedException {
    Client client = new Client(true);
    byte[] body = new byte[BODY_BYTES];
    Arrays.fill(body, (byte) 'b');
    ExecutorService requests = Executors.newVirtualThreadPerTaskExecutor();
    long gapNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
    long begin = System.nanoTime();
    long end = begin + TimeUnit.SECONDS.toNanos(LOAD_SECONDS);
    for (long next = begin; next < end; next += gapNanos) {
      long wait = next - System.nanoTime();
      if (wait > 0) {
        TimeUnit.NANOSECONDS.sleep(wait);
      }
      String attempt = "%016x".formatted(ThreadLocalRandom.current().nextLong());
      int front = ThreadLocalRandom.current().nextInt(instances.count());
      requests.submit(() -> send(client, instances, front, attempt, body));
    }
    requests.shutdown();
    requests.awaitTermination(5, TimeUnit.SECONDS);
  }

  private void send(
      Client client, Instances instances, int front, String attempt, byte[] body) {
    Client.Answer answer = Client.Answer.NONE;
    record.line("client sends %s to instance %d", attempt, front);
    try {
      answer =
          client.send(instances.front(front), "POST", "/new/x", attempt, DEADLINE_MILLIS, body);
    } catch (IOException e) {
      // The connection ended without an answer.
    }
    answers.put(attempt, answer);
    record.line("client gets %d for %s, seal %s", answer.status(), attempt, answer.seal());
  }

  private int judge(List<Target> targets) {
    Map<Integer, Integer> byStatus = new TreeMap<>();
    int twice = 0;
    int refused = 0;
    int mixed = 0;
    for (Map.Entry<String, Client.Answer> entry : answers.entrySet()) {
      String attempt = entry.getKey();
      Client.Answer answer = entry.getValue();
      byStatus.merge(answer.status(), 1, Integer::sum);
      List<String> ran = runs.getOrDefault(attempt, List.of());
      if (ran.size() > 1) {
        twice++;
        record.line("TWICE: %s ran at %s, status %d", attempt, ran, answer.status());
      }
      if (!ran.isEmpty() && List.of(408, 421, 429, 503).contains(answer.status())) {
        refused++;
        record.line("REFUSED: %s ran at %s, status %d", attempt, ran, answer.status());
      }
      if (!genuine(attempt, answer)) {
        mixed++;
        record.line(
            "MIXED: %s ran at %s, status %d, seal %s", attempt, ran, answer.status(), answer.seal());
      }
    }
    int rejections = targets.stream().mapToInt(target -> target.rejected.get()).sum();
    record.result(
        "requests=%d run=%d statuses=%s rejected_by_targets=%d ran_twice=%d refused_but_run=%d"
            + " mixed=%d",
        answers.size(), runs.size(), byStatus, rejections, twice, refused, mixed);
    if (byStatus.getOrDefault(200, 0) < answers.size() / 4) {
      record.result("too few requests were answered for a result");
      return 2;
    }
    return twice + refused + mixed > 0 ? 1 : 0;
  }

  /**
   * Whether an answer that bears a seal, or is a success, is what a target gave. A seal names the
   * target, its status and the length of its body.
   */
  private static boolean genuine(String attempt, Client.Answer answer) {
    if (answer.seal().isEmpty()) {
      return answer.status() < 200 || answer.status() > 299;
    }
    String[] seal = answer.seal().split("\\.");
    String body = new String(answer.body(), java.nio.charset.StandardCharsets.ISO_8859_1);
    return answer.status() == Integer.parseInt(seal[1])
        && answer.attempt().equals(attempt)
        && (answer.status() != 200 || body.equals("answer of " + seal[0] + " to " + attempt));
  }
}
