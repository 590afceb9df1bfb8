package org.magnoliaswitch.bench;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Phaser;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Generates open-loop load: requests start at their intended times regardless of earlier requests,
 * and latency is measured from the intended start, so that a slow system cannot hide its delay by
 * slowing down the load.
 */
final class LoadGenerator {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long HEALTH_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final int MAX_OUTCOME_QUERIES = 16;
  private static final long OUTCOME_QUERY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_SPARE_KEYS = 200;
  private static final long INITIAL_BACKOFF_MILLIS = 20;

  private final Scenario scenario;
  private final List<CallerSession> sessions;
  private final Clocks clocks;
  private final Recorder recorder = new Recorder();
  private final ConcurrentLinkedQueue<String> spareKeys = new ConcurrentLinkedQueue<>();
  private final String run;
  private final boolean freshKeys;
  private final Phaser running = new Phaser(1);

  LoadGenerator(
      Scenario scenario,
      List<CallerSession> sessions,
      Clocks clocks,
      String run,
      boolean freshKeys) {
    this.scenario = scenario;
    this.sessions = sessions;
    this.clocks = clocks;
    this.run = run;
    this.freshKeys = freshKeys;
  }

  Recorder recorder() {
    return recorder;
  }

  /**
   * Simulates the health checks of the external load balancer for every instance until the run
   * ends.
   */
  void startHealthChecks() {
    for (CallerSession session : sessions) {
      Thread.ofVirtual()
          .start(
              () -> {
                while (!running.isTerminated()) {
                  session.checkHealth();
                  LockSupport.parkNanos(HEALTH_CHECK_INTERVAL_NANOS);
                }
              });
    }
  }

  /**
   * Sends requests at the initial rate without recording them, so that a cold start is not
   * measured.
   */
  void warmUp(double seconds) {
    if (seconds > 0) {
      Scenario.Phase first = scenario.phases().getFirst();
      Scenario.Phase constant = new Scenario.Phase(seconds, first.fromRate(), first.fromRate());
      send(List.of(constant), new Recorder(), "w" + run);
    }
  }

  /** Runs all phases and waits for the last answer; returns the length in seconds. */
  double run() {
    double length = send(scenario.phases(), recorder, run);
    running.arriveAndAwaitAdvance();
    running.forceTermination();
    return length;
  }

  private double send(List<Scenario.Phase> phases, Recorder target, String prefix) {
    SplittableRandom random = new SplittableRandom(scenario.seed());
    long start = clocks.nanos();
    long progress = start + PROGRESS_INTERVAL_NANOS;
    double offset = 0;
    long number = 0;
    for (Scenario.Phase phase : phases) {
      double at = 0;
      while (true) {
        double rate = phase.fromRate() + (phase.toRate() - phase.fromRate()) * at / phase.seconds();
        at += -Math.log(1 - random.nextDouble()) / Math.max(0.001, rate);
        if (at >= phase.seconds()) {
          break;
        }
        long intended = start + (long) ((offset + at) * NANOS_PER_SECOND);
        waitUntil(intended);
        int slice = (int) ((offset + at) / Recorder.SLICE_SECONDS);
        String operation = prefix + '-' + number++;
        start(
            new StartedRequest(
                selectKind(random), operation, intended, slice, random.nextLong(), target));
        progress = progress(progress, number);
      }
      offset += phase.seconds();
      waitUntil(start + (long) (offset * NANOS_PER_SECOND));
    }
    return offset;
  }

  /** A request that the load generator has started. */
  private record StartedRequest(
      Scenario.LoadKind kind,
      String operation,
      long intendedNanos,
      int slice,
      long choice,
      Recorder recorder) {}

  private void waitUntil(long nanos) {
    for (long left = nanos - clocks.nanos(); left > 0; left = nanos - clocks.nanos()) {
      LockSupport.parkNanos(left);
    }
  }

  private long progress(long due, long number) {
    if (clocks.nanos() < due) {
      return due;
    }
    System.err.printf(
        "progress: begun=%d answered=%d not_executed=%d unknown=%d no_answer=%d%n",
        number,
        recorder.count(Verdict.EXECUTED),
        recorder.count(Verdict.NOT_EXECUTED),
        recorder.count(Verdict.UNKNOWN),
        recorder.count(Verdict.NO_ANSWER));
    return due + PROGRESS_INTERVAL_NANOS;
  }

  private Scenario.LoadKind selectKind(SplittableRandom random) {
    double total = scenario.kinds().stream().mapToDouble(Scenario.LoadKind::share).sum();
    double draw = random.nextDouble() * total;
    for (Scenario.LoadKind kind : scenario.kinds()) {
      draw -= kind.share();
      if (draw < 0) {
        return kind;
      }
    }
    return scenario.kinds().getLast();
  }

  private void start(StartedRequest request) {
    request.recorder().recordOffered(request.kind(), request.slice());
    running.register();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Verdict verdict = sendWithRetries(request);
                request
                    .recorder()
                    .recordOutcome(
                        request.kind(),
                        request.slice(),
                        request.operation(),
                        verdict,
                        clocks.nanos() - request.intendedNanos());
              } finally {
                running.arriveAndDeregister();
              }
            });
  }

  /** Retries a request with the same key until the answer is final or the deadline has passed. */
  private Verdict sendWithRetries(StartedRequest request) {
    Scenario.LoadKind kind = request.kind();
    String operation = request.operation();
    long choice = request.choice();
    long deadline = request.intendedNanos() + TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis());
    Optional<String> key = key(kind, operation, choice);
    Verdict last = Verdict.NO_ANSWER;
    boolean noAttemptExecuted = true;
    for (int attempt = 1; attempt <= kind.tries(); attempt++) {
      CallerSession session = selectSession(choice + attempt - 1);
      request.recorder().recordAttempt();
      CallerSession.AttemptResult result = session.send(kind, operation, key, attempt, deadline);
      result.nextKey().ifPresent(this::addSpareKey);
      last = result.verdict();
      if (last == Verdict.EXECUTED || last == Verdict.WRONG) {
        return last;
      }
      noAttemptExecuted &= result.attemptNotExecuted();
      if (kind.keys() == Scenario.Keys.ISSUED
          && result.status() == 409
          && last == Verdict.NOT_EXECUTED) {
        // The instance that issued the key is gone and has not executed the request, so a new key
        // is safe.
        spareKeys.clear();
        key = key(kind, operation, choice + attempt);
        noAttemptExecuted = true;
      }
      long pause = TimeUnit.MILLISECONDS.toNanos(INITIAL_BACKOFF_MILLIS << Math.min(4, attempt));
      if (attempt == kind.tries() || clocks.nanos() + pause >= deadline) {
        break;
      }
      LockSupport.parkNanos(pause);
    }
    if (noAttemptExecuted) {
      return Verdict.NOT_EXECUTED;
    }
    return last == Verdict.NOT_EXECUTED || key.isEmpty()
        ? last
        : queryOutcome(kind, key.get(), last, choice);
  }

  /** Queries the outcome of a key for some seconds, as a caller does that needs to know it. */
  private Verdict queryOutcome(Scenario.LoadKind kind, String key, Verdict last, long choice) {
    String service = kind.path().split("/", -1)[1];
    for (int i = 0; i < MAX_OUTCOME_QUERIES; i++) {
      Optional<Verdict> outcome = selectSession(choice + i).outcome(service, key);
      if (outcome.isPresent()) {
        return outcome.get();
      }
      LockSupport.parkNanos(OUTCOME_QUERY_INTERVAL_NANOS);
    }
    return last;
  }

  private Optional<String> key(Scenario.LoadKind kind, String operation, long choice) {
    return switch (kind.keys()) {
      case NONE -> Optional.empty();
      case OWN -> Optional.of("own-" + operation);
      case ISSUED -> issuedKey(choice);
    };
  }

  private Optional<String> issuedKey(long choice) {
    String spare = spareKeys.poll();
    if (spare != null) {
      return Optional.of(spare);
    }
    for (int i = 0; i < 3; i++) {
      Optional<String> key = selectSession(choice + i).issueKey();
      if (key.isPresent()) {
        return key;
      }
    }
    return Optional.empty();
  }

  private void addSpareKey(String key) {
    if (!freshKeys && spareKeys.size() < MAX_SPARE_KEYS) {
      spareKeys.add(key);
    }
  }

  private CallerSession selectSession(long choice) {
    int first = (int) Math.floorMod(choice, (long) sessions.size());
    for (int i = 0; i < sessions.size(); i++) {
      CallerSession candidate = sessions.get((first + i) % sessions.size());
      if (candidate.healthy()) {
        return candidate;
      }
    }
    return sessions.get(first);
  }

  /** Returns a random identifier for the run. */
  static String runId() {
    return Long.toString(ThreadLocalRandom.current().nextLong(1L << 40), 36);
  }
}
