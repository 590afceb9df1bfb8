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
 * Instances, servers and callers in virtual time, with the decisions on requests under which
 * servers end and nothing else: no load, no waiting, a millisecond a step.
 */
final class CrashReplay {
  /** Most servers of one try, as routes allow it. */
  private static final int MAX_SENDS = 2;

  /** Time from a server's end until its instance knows it, and until others hear of it. */
  private static final long NOTICE_MILLIS = 3;

  private static final long HEARSAY_MILLIS = 14;
  private static final long RESTART_MILLIS = 3_300;

  /** Time between two looks for a verdict, and how long callers have. */
  private static final long LOOK_AGAIN_MILLIS = 12;

  private static final long MOST_WAIT_MILLIS = 1_000;

  /** How long a caller that is told to come back much later stays away at most. */
  private static final long MAX_STAY_AWAY_MILLIS = 300;

  /**
   * What is played.
   *
   * @param workMillis mean time of work on a server
   * @param deadlyCopies copies of the deadly request that its callers keep under way
   * @param pollers callers that each keep {@code copies} of one request under way
   * @param onePath whether all pollers ask for the same
   * @param others other requests a second, each for itself
   */
  record Setting(
      int instances,
      int servers,
      int workMillis,
      int deadlyCopies,
      int pollers,
      int copies,
      boolean onePath,
      double others) {}

  /**
   * A request of a caller.
   *
   * @param content what it asks for
   */
  private record Request(RequestIdentity content, String caller) {
    List<RequestIdentity> identities() {
      return List.of(content, content.forCaller(caller));
    }

    boolean deadly() {
      return content.equals(DEADLY);
    }
  }

  private record Event(long atMillis, long order, Runnable task) {}

  /** A server's process; the next one is another object. */
  private static final class Server {
    private final String name;
    private final List<Run> runs = new ArrayList<>();
    private boolean ended;

    Server(String name) {
      this.name = name;
    }
  }

  /** One try of a request at one instance. */
  private final class Try {
    private final Request request;
    private final List<RequestIdentity> identities;
    private final boolean returns;
    private final int instance;
    private final Set<Server> tried = new HashSet<>();
    private long waitedMillis;

    Try(Request request, boolean returns) {
      this.request = request;
      this.identities = request.identities();
      this.returns = returns;
      this.instance = random.nextInt(tables.length);
    }

    void send() {
      Verdict verdict = verdict();
      if (verdict == Verdict.WAIT && waitedMillis < MOST_WAIT_MILLIS) {
        waitedMillis += LOOK_AGAIN_MILLIS;
        after(LOOK_AGAIN_MILLIS, this::send);
        return;
      }
      if (verdict == Verdict.REFUSED || verdict == Verdict.WAIT) {
        refused(request);
        over(MAX_STAY_AWAY_MILLIS);
        return;
      }
      if (verdict == Verdict.TRIAL) {
        tried();
      }
      List<Server> choice = servers.stream().filter(s -> !tried.contains(s)).toList();
      if (choice.isEmpty()) {
        over(MAX_STAY_AWAY_MILLIS);
        return;
      }
      Server server = choice.get(random.nextInt(choice.size()));
      tried.add(server);
      sends++;
      Run run = new Run(this, server, verdict == Verdict.TRIAL);
      server.runs.add(run);
      long work = 1 + (long) (setting.workMillis() * (0.5 + random.nextDouble()));
      after(work, run::worked);
    }

    private Verdict verdict() {
      return identities.stream()
          .map(identity -> tables[instance].verdict(identity, nanos()))
          .max(Comparator.naturalOrder())
          .orElseThrow();
    }

    private void tried() {
      for (RequestIdentity identity : identities) {
        if (tables[instance].verdict(identity, nanos()) == Verdict.TRIAL) {
          int trial = tables[instance].trials(identity) + 1;
          report(instance, new CrashReport.TrialStarted(identity, trial));
        }
      }
    }

    private int ends() {
      return identities.stream()
          .mapToInt(i -> tables[instance].serversCrashedDuring(i).size())
          .max()
          .orElse(0);
    }

    boolean stops(boolean warned) {
      CrashTable table = tables[instance];
      boolean suspect = table.suspicionLevel(identities.getLast()) == SuspicionLevel.SUSPECT;
      return identities.stream().anyMatch(table::confirmed) || (suspect && !warned);
    }

    void broke(Server server, boolean warned) {
      for (RequestIdentity identity : identities) {
        report(instance, new CrashReport.Crashed(identity, server.name, warned));
      }
      if (tried.size() < MAX_SENDS && ends() < 2) {
        send();
      } else {
        over(1);
      }
    }

    void over(long awayMillis) {
      if (returns) {
        Request again = request.deadly() ? deadly() : request;
        after(awayMillis, () -> new Try(again, true).send());
      }
    }
  }

  /** One send that is under way. */
  private final class Run {
    private final Try of;
    private final Server server;
    private final boolean warned;

    Run(Try of, Server server, boolean warned) {
      this.of = of;
      this.server = server;
      this.warned = warned;
    }

    void worked() {
      if (server.ended || !server.runs.remove(this)) {
        return;
      }
      if (of.request.deadly()) {
        server.runs.add(this);
        deadlyEnds++;
        end(server);
      } else {
        answered(of);
        of.over(1);
      }
    }
  }

  static final RequestIdentity DEADLY = new RequestIdentity(0, 0);

  private final Setting setting;
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
  private int named;
  private int deadlyEnds;
  private int sends;
  private int innocentRefused;
  private int innocentConfirmed;

  CrashReplay(Setting setting, long seed) {
    this.setting = setting;
    this.random = new Random(seed);
    this.tables = new CrashTable[setting.instances()];
    Arrays.fill(tables, CrashTable.EMPTY);
    for (int i = 0; i < setting.servers(); i++) {
      servers.add(new Server("s" + named++));
    }
  }

  /** Lets a share of the servers end at one moment, for a reason of their own. */
  void loseServers(long atMillis, double share) {
    after(
        atMillis,
        () ->
            List.copyOf(servers).stream()
                .filter(s -> random.nextDouble() < share)
                .forEach(this::end));
  }

  /** Plays for a while. */
  void play(long millis) {
    for (int i = 0; i < setting.deadlyCopies(); i++) {
      after(random.nextLong(200), () -> new Try(deadly(), true).send());
    }
    for (int i = 0; i < setting.pollers(); i++) {
      RequestIdentity content = new RequestIdentity(1, setting.onePath() ? 0 : i);
      Request request = new Request(content, "poller " + i);
      for (int copy = 0; copy < setting.copies(); copy++) {
        after(random.nextLong(200), () -> new Try(request, true).send());
      }
    }
    arrive();
    while (!events.isEmpty() && events.peek().atMillis() <= millis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.task().run();
    }
  }

  /** Servers that ended under the deadly request. */
  int deadlyEnds() {
    return deadlyEnds;
  }

  /** Sends of all requests. */
  int sends() {
    return sends;
  }

  /** Tries of other requests that were turned away. */
  int innocentRefused() {
    return innocentRefused;
  }

  /** Those of them whose request was confirmed, so that no trial could clear it soon. */
  int innocentConfirmed() {
    return innocentConfirmed;
  }

  private void arrive() {
    if (setting.others() > 0) {
      long next = scheduled;
      new Try(new Request(new RequestIdentity(2, next), "other"), false).send();
      double pause = -Math.log(1 - random.nextDouble()) / setting.others();
      after(Math.max(1, Math.round(TimeUnit.SECONDS.toMillis(1) * pause)), this::arrive);
    }
  }

  private void end(Server server) {
    if (server.ended) {
      return;
    }
    server.ended = true;
    servers.remove(server);
    for (Run run : List.copyOf(server.runs)) {
      after(NOTICE_MILLIS, () -> run.of.broke(server, run.warned));
    }
    after(RESTART_MILLIS, () -> servers.add(new Server("s" + named++)));
  }

  /** The deadly request, from another address each time. */
  private Request deadly() {
    return new Request(DEADLY, "address " + random.nextInt());
  }

  private void answered(Try of) {
    for (RequestIdentity identity : of.identities) {
      if (tables[of.instance].clearable(identity)) {
        report(of.instance, tables[of.instance].clearanceFor(identity));
      }
    }
  }

  private void refused(Request request) {
    if (!request.deadly()) {
      innocentRefused++;
      innocentConfirmed += request.identities().stream().anyMatch(tables[0]::confirmed) ? 1 : 0;
    }
  }

  private void report(int instance, CrashReport report) {
    learn(instance, report);
    after(
        HEARSAY_MILLIS,
        () -> {
          for (int i = 0; i < tables.length; i++) {
            learn(i, report);
          }
        });
  }

  private void learn(int instance, CrashReport report) {
    tables[instance] = tables[instance].with(List.of(report), nanos()).table();
    if (tables[instance].suspicionLevel(report.request()) != SuspicionLevel.UNSUSPECTED) {
      stopSends(instance, report.request());
    }
  }

  /** What the instance has under way of a suspect is cancelled, but for its trial. */
  private void stopSends(int instance, RequestIdentity request) {
    for (Server server : servers) {
      for (Run run : List.copyOf(server.runs)) {
        boolean same = run.of.instance == instance && run.of.identities.contains(request);
        if (same && run.of.stops(run.warned)) {
          server.runs.remove(run);
          run.of.over(1);
        }
      }
    }
  }

  private void after(long millis, Runnable task) {
    events.add(new Event(nowMillis + millis, scheduled++, task));
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }
}
