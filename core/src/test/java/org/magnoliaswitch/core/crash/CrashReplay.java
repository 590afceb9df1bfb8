package org.magnoliaswitch.core.crash;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Simulates instances, servers and callers in virtual time, with the decisions on requests that
 * crash servers and nothing else: no load, no queues, a resolution of one millisecond.
 */
final class CrashReplay {
  /** Maximum number of servers for one exchange, as configured for routes. */
  private static final int MAX_ATTEMPTS = 2;

  /**
   * Time from a server's crash until the instance detects it, and until other instances receive the
   * report.
   */
  private static final long DETECTION_MILLIS = 3;

  private static final long PROPAGATION_MILLIS = 14;
  private static final long RESTART_MILLIS = 3_300;

  /** Interval at which a waiting request polls for a verdict, and how long callers wait. */
  private static final long POLL_MILLIS = 12;

  private static final long MAX_WAIT_MILLIS = 1_000;

  /** Maximum delay of a retry by a caller that was told to retry much later. */
  private static final long MAX_RETRY_DELAY_MILLIS = 300;

  /**
   * Parameters of a simulation.
   *
   * @param workMillis mean time that a server takes for a request
   * @param crashingCopies copies of the crashing request that its callers keep in flight
   * @param pollers callers that each keep {@code copies} of one request in flight
   * @param onePath whether all pollers send the same request
   * @param others further requests per second, all different
   */
  record Scenario(
      int instances,
      int servers,
      int workMillis,
      int crashingCopies,
      int pollers,
      int copies,
      boolean onePath,
      double others) {}

  /**
   * A request of a caller.
   *
   * @param content identity of its content
   */
  private record Request(RequestIdentity content, String caller) {
    List<RequestIdentity> identities() {
      return List.of(content, content.forCaller(caller));
    }

    boolean crashesServers() {
      return content.equals(CRASHING);
    }
  }

  private record Event(long atMillis, long order, Runnable task) {}

  /** A server process; a restarted server is another object. */
  private static final class Server {
    private final String name;
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean crashed;

    Server(String name) {
      this.name = name;
    }
  }

  /** One try of a caller at one instance. */
  private final class Exchange {
    private final Request request;
    private final List<RequestIdentity> identities;
    private final boolean retries;
    private final int instance;
    private final Set<Server> triedServers = new HashSet<>();
    private long waitedMillis;

    Exchange(Request request, boolean retries) {
      this.request = request;
      this.identities = request.identities();
      this.retries = retries;
      this.instance = random.nextInt(tables.length);
    }

    void send() {
      Verdict verdict = verdict();
      if (verdict == Verdict.WAIT && waitedMillis < MAX_WAIT_MILLIS) {
        waitedMillis += POLL_MILLIS;
        schedule(POLL_MILLIS, this::send);
        return;
      }
      if (verdict == Verdict.REFUSED || verdict == Verdict.WAIT) {
        recordRefusal(request);
        finish(MAX_RETRY_DELAY_MILLIS);
        return;
      }
      if (verdict == Verdict.TRIAL) {
        startTrial();
      }
      List<Server> choice = servers.stream().filter(s -> !triedServers.contains(s)).toList();
      if (choice.isEmpty()) {
        finish(MAX_RETRY_DELAY_MILLIS);
        return;
      }
      Server server = choice.get(random.nextInt(choice.size()));
      triedServers.add(server);
      attempts++;
      Attempt attempt = new Attempt(this, server, verdict == Verdict.TRIAL);
      server.attempts.add(attempt);
      long work = 1 + (long) (scenario.workMillis() * (0.5 + random.nextDouble()));
      schedule(work, attempt::completed);
    }

    private Verdict verdict() {
      return identities.stream()
          .map(identity -> tables[instance].verdict(identity, nanos()))
          .max(Comparator.naturalOrder())
          .orElseThrow();
    }

    private void startTrial() {
      for (RequestIdentity identity : identities) {
        if (tables[instance].verdict(identity, nanos()) == Verdict.TRIAL) {
          int trial = tables[instance].trials(identity) + 1;
          report(instance, new CrashReport.TrialStarted(identity, trial));
        }
      }
    }

    private int crashes() {
      return identities.stream()
          .mapToInt(i -> tables[instance].serversCrashedDuring(i).size())
          .max()
          .orElse(0);
    }

    boolean mustCancel(boolean warned) {
      CrashTable table = tables[instance];
      boolean suspect = table.suspicionLevel(identities.getLast()) == SuspicionLevel.SUSPECT;
      return identities.stream().anyMatch(table::confirmed) || (suspect && !warned);
    }

    void serverCrashed(Server server, boolean warned) {
      for (RequestIdentity identity : identities) {
        report(instance, new CrashReport.Crashed(identity, server.name, warned));
      }
      if (triedServers.size() < MAX_ATTEMPTS && crashes() < 2) {
        send();
      } else {
        finish(1);
      }
    }

    void finish(long delayMillis) {
      if (retries) {
        Request retry = request.crashesServers() ? crashingRequest() : request;
        schedule(delayMillis, () -> new Exchange(retry, true).send());
      }
    }
  }

  /** One attempt in flight at a server. */
  private final class Attempt {
    private final Exchange exchange;
    private final Server server;
    private final boolean warned;

    Attempt(Exchange exchange, Server server, boolean warned) {
      this.exchange = exchange;
      this.server = server;
      this.warned = warned;
    }

    void completed() {
      if (server.crashed || !server.attempts.remove(this)) {
        return;
      }
      if (exchange.request.crashesServers()) {
        server.attempts.add(this);
        causedCrashes++;
        crash(server);
      } else {
        recordAnswer(exchange);
        exchange.finish(1);
      }
    }
  }

  static final RequestIdentity CRASHING = new RequestIdentity(0, 0);

  private final Scenario scenario;
  private final Random random;
  private final CrashTable[] tables;
  private final List<Server> servers = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMillis() == b.atMillis()
                  ? Long.compare(a.order(), b.order())
                  : Long.compare(a.atMillis(), b.atMillis()));
  private long nowMillis;
  private long scheduled;
  private int namedServers;
  private int causedCrashes;
  private int attempts;
  private int refusedBystanders;
  private int confirmedBystanders;

  CrashReplay(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new Random(seed);
    this.tables = new CrashTable[scenario.instances()];
    Arrays.fill(tables, CrashTable.EMPTY);
    for (int i = 0; i < scenario.servers(); i++) {
      servers.add(new Server("s" + namedServers++));
    }
  }

  /** Crashes a share of the servers at one moment, for a reason unrelated to requests. */
  void crashServers(long atMillis, double share) {
    schedule(
        atMillis,
        () ->
            List.copyOf(servers).stream()
                .filter(s -> random.nextDouble() < share)
                .forEach(this::crash));
  }

  /** Runs the simulation for a time. */
  void simulate(long millis) {
    for (int i = 0; i < scenario.crashingCopies(); i++) {
      schedule(random.nextLong(200), () -> new Exchange(crashingRequest(), true).send());
    }
    for (int i = 0; i < scenario.pollers(); i++) {
      RequestIdentity content = new RequestIdentity(1, scenario.onePath() ? 0 : i);
      Request request = new Request(content, "poller " + i);
      for (int copy = 0; copy < scenario.copies(); copy++) {
        schedule(random.nextLong(200), () -> new Exchange(request, true).send());
      }
    }
    scheduleArrivals();
    while (!events.isEmpty() && events.peek().atMillis() <= millis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.task().run();
    }
  }

  /** Number of servers that crashed while serving the crashing request. */
  int causedCrashes() {
    return causedCrashes;
  }

  /** Number of attempts of all requests. */
  int attempts() {
    return attempts;
  }

  /** Number of refused tries of requests that do not crash servers. */
  int refusedBystanders() {
    return refusedBystanders;
  }

  /** Number of these refusals with a confirmed request, which no trial could clear soon. */
  int confirmedBystanders() {
    return confirmedBystanders;
  }

  private void scheduleArrivals() {
    if (scenario.others() > 0) {
      long next = scheduled;
      new Exchange(new Request(new RequestIdentity(2, next), "other"), false).send();
      double pause = -Math.log(1 - random.nextDouble()) / scenario.others();
      schedule(
          Math.max(1, Math.round(TimeUnit.SECONDS.toMillis(1) * pause)), this::scheduleArrivals);
    }
  }

  private void crash(Server server) {
    if (server.crashed) {
      return;
    }
    server.crashed = true;
    servers.remove(server);
    for (Attempt attempt : List.copyOf(server.attempts)) {
      schedule(DETECTION_MILLIS, () -> attempt.exchange.serverCrashed(server, attempt.warned));
    }
    schedule(RESTART_MILLIS, () -> servers.add(new Server("s" + namedServers++)));
  }

  /** Creates the crashing request with another caller address each time. */
  private Request crashingRequest() {
    return new Request(CRASHING, "address " + random.nextInt());
  }

  private void recordAnswer(Exchange exchange) {
    for (RequestIdentity identity : exchange.identities) {
      if (tables[exchange.instance].clearable(identity)) {
        report(exchange.instance, tables[exchange.instance].clearanceFor(identity));
      }
    }
  }

  private void recordRefusal(Request request) {
    if (!request.crashesServers()) {
      refusedBystanders++;
      confirmedBystanders += request.identities().stream().anyMatch(tables[0]::confirmed) ? 1 : 0;
    }
  }

  private void report(int instance, CrashReport report) {
    apply(instance, report);
    schedule(
        PROPAGATION_MILLIS,
        () -> {
          for (int i = 0; i < tables.length; i++) {
            apply(i, report);
          }
        });
  }

  private void apply(int instance, CrashReport report) {
    tables[instance] = tables[instance].with(List.of(report), nanos()).table();
    if (tables[instance].suspicionLevel(report.request()) != SuspicionLevel.UNSUSPECTED) {
      cancelAttempts(instance, report.request());
    }
  }

  /** Cancels the instance's attempts of a suspect request, except its trial. */
  private void cancelAttempts(int instance, RequestIdentity request) {
    for (Server server : servers) {
      for (Attempt attempt : List.copyOf(server.attempts)) {
        boolean same =
            attempt.exchange.instance == instance && attempt.exchange.identities.contains(request);
        if (same && attempt.exchange.mustCancel(attempt.warned)) {
          server.attempts.remove(attempt);
          attempt.exchange.finish(1);
        }
      }
    }
  }

  private void schedule(long millis, Runnable task) {
    events.add(new Event(nowMillis + millis, scheduled++, task));
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }
}
