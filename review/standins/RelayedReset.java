import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The packet that opens a connection to a target is lost, so that the connection leads through
 * another instance; the answer has no length and its connection is reset on the way.
 */
final class RelayedReset {
  private static final int TARGETS = 6;
  private static final int SLOTS = 6;
  private static final double WORK_MILLIS = 82;
  private static final int BODY_BYTES = 5_000;
  private static final long DEADLINE_MILLIS = 600;
  private static final int ROUNDS = 12;
  private static final int CALM_REQUESTS = 60;

  /** Packets of the instances that are lost from the moment at which a request is sent. */
  private static final long LOSS_MILLIS = 45;

  private final Instances instances;
  private final List<Target> targets;
  private final Record record;
  private final boolean trouble;
  private int mixed;
  private int garbled;

  private RelayedReset(
      Instances instances, List<Target> targets, Record record, boolean trouble) {
    this.instances = instances;
    this.targets = targets;
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]).toAbsolutePath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review");
    int result;
    try (Record record = new Record(Path.of(arguments[1]))) {
      result = play(root, folder, record, trouble);
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
      result = 2;
    }
    System.out.println("logs: " + folder);
    System.exit(result);
  }

  private static int play(Path root, Path folder, Record record, boolean trouble)
      throws Exception {
    String net = "127." + (64 + new Random().nextInt(128)) + "." + new Random().nextInt(256);
    Store store = new Store(net + ".10");
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      Target target =
          new Target(store, record, "t-" + i, "calendar", SLOTS, WORK_MILLIS, BODY_BYTES, i);
      target.closeIdleAfterSeconds(1);
      target.register();
      targets.add(target);
    }
    store.put("op", "config", configuration());
    List<String> ips = List.of(net + ".1", net + ".2", net + ".3");
    try (Instances instances = new Instances(root, folder, store.address(), ips)) {
      instances.startAll();
      // Instances learn of each other as relays one and three seconds after their start.
      Thread.sleep(4_000);
      RelayedReset run = new RelayedReset(instances, targets, record, trouble);
      for (int round = 0; round < ROUNDS; round++) {
        run.calm(round);
        run.disturbed(round);
      }
      long relayed = 0;
      for (int i = 0; i < ips.size(); i++) {
        relayed += instances.metric(i, "magnolia_relayed_connections_opened");
      }
      String summary =
          "garbled %d relayed %d mixed %d".formatted(run.garbled, relayed, run.mixed);
      record.line("result", summary);
      System.out.println(summary);
      return run.mixed > 0 ? 1 : 0;
    }
  }

  private static String configuration() {
    return """
        {"config_version":7,"routes":{
        "shift":{"host":"desk.example","prefix":"/shift/","route_type":"unsafe",
        "timeout":"600ms","slo":"250ms","priority":0,"max_attempts":2,"backend":"calendar"}},
        "services":{"calendar":{"health_path":"/health","max_conns":260,"protocol":"h1",
        "tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
        "header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":5}""";
  }

  /** Requests without any disruption, so that few of all packets and answers are disturbed. */
  private void calm(int round) throws IOException, InterruptedException {
    for (int i = 0; i < CALM_REQUESTS; i++) {
      send("calm-%02d-%02d".formatted(round, i));
    }
  }

  private void disturbed(int round) throws Exception {
    String id = "lost-%02d".formatted(round);
    AtomicBoolean open = new AtomicBoolean();
    if (trouble) {
      for (Target target : targets) {
        target.breakOff(id);
      }
      List<Callable<Void>> closings = new ArrayList<>();
      for (Target target : targets) {
        closings.add(
            () -> {
              target.losePackets();
              return null;
            });
      }
      for (Callable<Void> closing : closings) {
        closing.call();
      }
      record.line("packets_lost", "from");
      Thread.ofVirtual()
          .start(
              () -> {
                sleep(LOSS_MILLIS);
                targets.forEach(Target::passPackets);
                record.line("packets_lost", "to");
                open.set(true);
              });
    }
    garbled += send(id);
    while (trouble && !open.get()) {
      sleep(5);
    }
  }

  /** Sends a request; returns 1 if its target broke its answer off. */
  private int send(String id) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(instances.ip(0), instances.front()), 1_000);
      socket.setSoTimeout((int) DEADLINE_MILLIS + 2_000);
      record.line("sent", id);
      socket
          .getOutputStream()
          .write(
              Http.bytes(
                  "PUT /shift/%s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody"
                      .formatted(id, id, DEADLINE_MILLIS)));
      Http.Message answer = Http.read(socket.getInputStream());
      if (answer == null) {
        record.line("closed", id);
        return 0;
      }
      record.line("answer", id, answer.status(), answer.body().length);
      boolean brokenOff = targets.stream().anyMatch(target -> target.brokeOff(id));
      if (answer.status() == 200 && answer.body().length != BODY_BYTES) {
        mixed++;
        String line =
            "MIXED %s got 200 with %d of %d bytes, seal %s"
                .formatted(id, answer.body().length, BODY_BYTES, answer.header("response-seal"));
        record.line(line);
        System.out.println(line);
      }
      return brokenOff ? 1 : 0;
    } catch (IOException e) {
      record.line("failed", id, e);
      return 0;
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
