import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6: one machine is cut off from the store and from the other machines for some
 * seconds, again and again. Meanwhile targets leave whose entries are removed without notice. The
 * machines that were never cut off must send them nothing later than two seconds after that.
 */
final class LateDeparture {
  private static final int INSTANCES = 4;
  private static final int SEEDS = 3;

  /** The machine that is cut off. */
  private static final int CUT = 0;

  private static final int TARGETS = 8;
  private static final int CYCLES = 9;
  private static final long CUT_MILLIS = 5_000;

  /** When targets leave, from the beginning of a cut. */
  private static final long[] LEAVE_AFTER_MILLIS = {1_500, 4_600};

  private static final long REST_MILLIS = 4_000;
  private static final long DRAIN_MILLIS = 2_000;

  /** How long a target goes on serving after its entry is gone. */
  private static final long SERVES_ON_MILLIS = 8_000;

  private static final Target.Work WORK = new Target.Work(6, 12, 100, 0, true);
  private static final int REQUESTS_PER_SECOND = 150;
  private static final int DEADLINE_MILLIS = 1_000;
  private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");

  private static final String CONFIGURATION =
      """
      {"config_version":7,"routes":{"r1":{"host":"desk.example","prefix":"/position/",\
      "route_type":"safe","timeout":"1000ms","slo":"300ms","priority":2,"backend":"status",\
      "max_attempts":2}},"services":{"status":{"health_path":"/health","max_conns":260}},\
      "limits":{"max_header_bytes":8192,"max_body_bytes":262144,"header_timeout":"5s",\
      "idle_timeout":"30s"}}""";

  private final Record record;
  private final boolean trouble;
  private final List<Target> targets = new CopyOnWriteArrayList<>();
  private final Map<String, Integer> frontOf = new ConcurrentHashMap<>();
  private final Map<String, Long> leftMillis = new ConcurrentHashMap<>();
  private final Map<String, Long> lateMillis = new ConcurrentHashMap<>();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private volatile boolean ended;
  private int started;

  private LateDeparture(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    Path temporary = Files.createTempDirectory("review-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(folder.resolve("record.txt"))) {
      exit = new LateDeparture(record, trouble).play(temporary);
    } catch (Exception | Error e) {
      // A case that could not be played says nothing of the rule.
      System.out.println("the case could not run: " + e);
    }
    System.exit(exit);
  }

  private int play(Path temporary) throws IOException, InterruptedException {
    List<Link> links = new ArrayList<>();
    try (StoreStandin store = new StoreStandin("127.0.0.1");
        Instances instances = new Instances(temporary)) {
      store.put("op", "config", CONFIGURATION);
      for (int i = 0; i < TARGETS; i++) {
        startTarget(store);
      }
      Link storeLink = new Link("127.0.0.1", 0, store.address());
      links.add(storeLink);
      for (int i = 0; i < SEEDS; i++) {
        for (int port : new int[] {instances.peersPort(), instances.relayPort()}) {
          InetSocketAddress seed = new InetSocketAddress(instances.ip(i), port);
          links.add(new Link(instances.ip(100 + i), port, seed));
        }
      }
      instances.start(
          INSTANCES,
          ZONES,
          new Instances.Neighbours() {
            @Override
            public InetSocketAddress store(int instance) {
              return instance == CUT ? storeLink.address() : store.address();
            }

            @Override
            public String seed(int instance, int seed) {
              boolean overLink = (instance == CUT) != (seed == CUT);
              return instances.ip(overLink ? 100 + seed : seed);
            }
          });
      if (!instances.awaitReady(20_000)) {
        record.result("the instances did not become ready");
        return 2;
      }
      Thread.ofVirtual().start(() -> beat(store));
      Thread load = Thread.ofVirtual().start(() -> load(instances));
      TimeUnit.SECONDS.sleep(4);
      for (int i = 0; i < CYCLES; i++) {
        cycle(store, links);
      }
      ended = true;
      load.join(3_000);
      for (int i = 0; i < INSTANCES; i++) {
        if (!instances.running(i)) {
          record.result("instance %d has ended", i);
        }
      }
    } finally {
      for (Link link : links) {
        link.close();
      }
      for (Target target : targets) {
        target.close();
      }
    }
    return judge();
  }

  private void startTarget(StoreStandin store) throws IOException {
    Target target =
        new Target(
            "i-%04x".formatted(0x7f00 + started),
            "status",
            ZONES.get(started % ZONES.size()),
            "127.0.0.1",
            WORK,
            Target.SOUND,
            this::runs);
    started++;
    targets.add(target);
    store.put("servers", target.id(), target.entry());
  }

  /** Cuts the machine off, lets targets leave meanwhile, and starts others. */
  private void cycle(StoreStandin store, List<Link> links)
      throws IOException, InterruptedException {
    if (trouble) {
      for (Link link : links) {
        link.cut();
      }
      record.line("machine %d is cut off", CUT);
    }
    long passed = 0;
    for (long leaves : LEAVE_AFTER_MILLIS) {
      TimeUnit.MILLISECONDS.sleep(leaves - passed);
      passed = leaves;
      leave(store);
      startTarget(store);
    }
    TimeUnit.MILLISECONDS.sleep(CUT_MILLIS - passed);
    if (trouble) {
      for (Link link : links) {
        link.heal();
      }
      record.line("machine %d is back", CUT);
    }
    TimeUnit.MILLISECONDS.sleep(REST_MILLIS);
  }

  /** Removes the entry of a target, which goes on serving for some seconds. */
  private synchronized void leave(StoreStandin store) {
    Target leaving = targets.removeFirst();
    store.remove("servers", leaving.id());
    leftMillis.put(leaving.id(), record.millis());
    record.line("the entry of %s is removed", leaving.id());
    Thread.ofVirtual().start(() -> exitLater(leaving));
  }

  private static void exitLater(Target target) {
    try {
      TimeUnit.MILLISECONDS.sleep(SERVES_ON_MILLIS);
      target.close();
    } catch (IOException | InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void beat(StoreStandin store) {
    try {
      while (!ended) {
        TimeUnit.MILLISECONDS.sleep(1_500 / TARGETS);
        Target next = targets.get(ThreadLocalRandom.current().nextInt(targets.size()));
        synchronized (this) {
          if (!leftMillis.containsKey(next.id())) {
            store.put("servers", next.id(), next.entry());
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runs(Target target, Http.Message request) {
    Long left = leftMillis.get(target.id());
    if (left == null) {
      return;
    }
    long since = record.millis() - left;
    int front = frontOf.getOrDefault(request.header("attempt-id"), CUT);
    record.line(
        "%s runs %s from machine %d, %d ms after its entry was removed",
        target.id(), request.header("attempt-id"), front, since);
    if (since > DRAIN_MILLIS && front != CUT) {
      late.incrementAndGet();
      lateMillis.merge(target.id(), since, Math::max);
    }
  }

  private void load(Instances instances) {
    Client client = new Client(true);
    long gapNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
    try (ExecutorService requests = Executors.newVirtualThreadPerTaskExecutor()) {
      for (long next = System.nanoTime(); !ended; next += gapNanos) {
        long wait = next - System.nanoTime();
        if (wait > 0) {
          TimeUnit.NANOSECONDS.sleep(wait);
        }
        String attempt = "%016x".formatted(ThreadLocalRandom.current().nextLong());
        int front = ThreadLocalRandom.current().nextInt(instances.count());
        frontOf.put(attempt, front);
        requests.submit(
            () -> {
              sent.incrementAndGet();
              try {
                Client.Answer answer =
                    client.send(
                        instances.front(front),
                        "GET",
                        "/position/x",
                        attempt,
                        DEADLINE_MILLIS,
                        new byte[0]);
                if (answer.status() == 200) {
                  served.incrementAndGet();
                } else {
                  record.line("machine %d answers %d to %s", front, answer.status(), attempt);
                }
              } catch (IOException e) {
                record.line("machine %d ends the connection of %s", front, attempt);
              }
            });
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int judge() {
    record.result(
        "requests=%d served=%d departures=%d late_departures=%d late_requests=%d worst_ms=%s",
        sent.get(),
        served.get(),
        leftMillis.size(),
        lateMillis.size(),
        late.get(),
        Arrays.toString(lateMillis.values().toArray()));
    if (served.get() < sent.get() / 4) {
      record.result("too few requests were answered for a result");
      return 2;
    }
    return late.get() > 0 ? 1 : 0;
  }
}
