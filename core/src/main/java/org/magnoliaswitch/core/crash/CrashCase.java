package org.magnoliaswitch.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The evidence about one request during which servers crashed.
 *
 * <p>When a server crashes, every request that it was executing is a possible cause, and most of
 * them are bystanders. The cause is the request whose repetition crashes servers again: two crashes
 * make a request suspect, and a suspect request is let through to one server at a time (a trial).
 * If that server crashes too, the request is confirmed as the cause; any complete answer clears it.
 * Crashes without a trial never confirm a request, however many there are: a caller that polls one
 * path has a copy of its request on every server that is lost when a data centre loses power.
 *
 * @param crashes incarnations that crashed while serving the request, with whether the sender knew
 *     that it was suspect
 * @param cleared incarnations whose crashes no longer count
 * @param trials number of times the request was let through as a suspect
 * @param clearedTrials number of these trials that were made before an answer cleared the request
 * @param lastChangeNanos when this instance learnt of the last crash or trial
 */
record CrashCase(
    Map<String, Boolean> crashes,
    Set<String> cleared,
    int trials,
    int clearedTrials,
    long lastChangeNanos) {
  /**
   * Crashes that make a request suspect. A bystander is rarely involved in two crashes in a row,
   * whereas the cause is involved in every one.
   */
  static final int SUSPECT_CRASHES = 2;

  /** Crashes that confirm a request if a trial is among them; three are no coincidence any more. */
  private static final int CONFIRMED_CRASHES = 3;

  /**
   * Maximum number of crashes kept per request. Further crashes add no evidence about the request
   * itself, but the crashes of a confirmed request are not attributed to others.
   */
  private static final int MAX_CRASHES = 16;

  /** Maximum number of cleared crashes kept, so that late reports of them have no effect. */
  private static final int MAX_CLEARED = 16;

  /**
   * Interval until the next trial after a first inconclusive one, multiplied by six after each
   * further one. A trial costs a server at most some seconds of its work.
   */
  private static final long FIRST_TRIAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Time in which a trial is expected to give a result, longer than nearly all answers take. Until
   * then copies of the request get the verdict {@link Verdict#WAIT}. The front lets them wait: if
   * they were rejected, callers that poll one path would lose attempts while servers crash for
   * other reasons. The entry rejects them, since waiting would block a thread.
   */
  private static final long TRIAL_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int INTERVAL_FACTOR = 6;

  /**
   * Interval at which a confirmed request is let through again. A fixed release of the servers is
   * then noticed without an operator, and a faulty one costs one server per hour.
   */
  private static final long CONFIRMED_TRIAL_INTERVAL_NANOS = TimeUnit.HOURS.toNanos(1);

  /** Retention of a single crash: a caller that retries does so within seconds. */
  private static final long SINGLE_CRASH_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Retention of a cleared case, for as long as reports of its crashes may still arrive. */
  private static final long CLEARED_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** Retention of a suspect request that is not repeated: one day. */
  private static final long SUSPECT_RETENTION_NANOS = TimeUnit.DAYS.toNanos(1);

  static final CrashCase NONE = new CrashCase(Map.of(), Set.of(), 0, 0, 0);

  CrashCase {
    crashes = Map.copyOf(crashes);
    cleared = Set.copyOf(cleared);
  }

  /**
   * Returns this case with a report applied; the same object if the report contains nothing new.
   */
  CrashCase with(CrashReport report, long nowNanos) {
    return switch (report) {
      case CrashReport.Crashed crash -> withCrash(crash, nowNanos);
      case CrashReport.Cleared clearance -> withClearance(clearance);
      case CrashReport.TrialStarted trial ->
          trial.trialNumber() <= trials
              ? this
              : new CrashCase(crashes, cleared, trial.trialNumber(), clearedTrials, nowNanos);
    };
  }

  private CrashCase withCrash(CrashReport.Crashed crash, long nowNanos) {
    boolean known = crashes.containsKey(crash.server());
    boolean nothingNew = known && (crashes.get(crash.server()) || !crash.warned());
    boolean full = !known && crashes.size() >= MAX_CRASHES;
    if (nothingNew || full || cleared.contains(crash.server())) {
      return this;
    }
    Map<String, Boolean> extended = new HashMap<>(crashes);
    extended.merge(crash.server(), crash.warned(), Boolean::logicalOr);
    return new CrashCase(extended, cleared, trials, clearedTrials, nowNanos);
  }

  /** Removes only the crashes and trials that the report names, because later ones count. */
  private CrashCase withClearance(CrashReport.Cleared report) {
    Set<String> allCleared = new HashSet<>(cleared);
    allCleared.addAll(report.servers());
    int allClearedTrials = Math.max(clearedTrials, report.trials());
    if (allCleared.size() == cleared.size() && allClearedTrials == clearedTrials) {
      return this;
    }
    Map<String, Boolean> remaining = new HashMap<>(crashes);
    remaining.keySet().removeAll(allCleared);
    Set<String> retained = allCleared.size() > MAX_CLEARED ? report.servers() : allCleared;
    return new CrashCase(remaining, retained, trials, allClearedTrials, lastChangeNanos);
  }

  /** Returns this case without the crashes that are attributed to another request. */
  CrashCase withoutExplained(Set<String> explained) {
    if (crashes.keySet().stream().noneMatch(explained::contains)) {
      return this;
    }
    Map<String, Boolean> remaining = new HashMap<>(crashes);
    remaining.keySet().removeAll(explained);
    return new CrashCase(remaining, cleared, trials, clearedTrials, lastChangeNanos);
  }

  /** Decides how to handle the request now. */
  Verdict verdict(long nowNanos) {
    if (crashes.size() < SUSPECT_CRASHES) {
      return Verdict.ALLOWED;
    }
    if (nanosUntilTrial(nowNanos) <= 0) {
      return Verdict.TRIAL;
    }
    boolean trialRunning = !confirmed() && nowNanos - lastChangeNanos < TRIAL_WINDOW_NANOS;
    return trialRunning ? Verdict.WAIT : Verdict.REFUSED;
  }

  /** Time until the next trial of the request is allowed; zero or less if it is allowed now. */
  long nanosUntilTrial(long nowNanos) {
    return lastChangeNanos + trialIntervalNanos() - nowNanos;
  }

  private long trialIntervalNanos() {
    if (confirmed()) {
      return CONFIRMED_TRIAL_INTERVAL_NANOS;
    }
    int inconclusive = trials - clearedTrials;
    double interval =
        (double) FIRST_TRIAL_INTERVAL_NANOS * Math.pow(INTERVAL_FACTOR, inconclusive - 1.0);
    return inconclusive <= 0 ? 0 : Math.min(CONFIRMED_TRIAL_INTERVAL_NANOS, (long) interval);
  }

  /**
   * Whether an answer would clear anything: crashes, or a trial that ran in parallel with another
   * and is answered after it. If such a trial remained, it would count as inconclusive when further
   * crashes occur.
   */
  boolean clearable() {
    return !crashes.isEmpty() || trials > clearedTrials;
  }

  /**
   * Whether the number of crashes rules out a bystander and one of the senders knew that the
   * request was suspect.
   */
  boolean confirmed() {
    return crashes.size() >= CONFIRMED_CRASHES && crashes.containsValue(true);
  }

  /** The level of suspicion against the request. */
  SuspicionLevel suspicionLevel() {
    if (confirmed()) {
      return SuspicionLevel.CONFIRMED;
    }
    return crashes.size() >= SUSPECT_CRASHES ? SuspicionLevel.SUSPECT : SuspicionLevel.UNSUSPECTED;
  }

  /** Whether the case has not changed for so long that it is removed. */
  boolean expired(long nowNanos) {
    long retention =
        switch (crashes.size()) {
          case 0 -> CLEARED_RETENTION_NANOS;
          case 1 -> SINGLE_CRASH_RETENTION_NANOS;
          default -> SUSPECT_RETENTION_NANOS;
        };
    return nowNanos - lastChangeNanos > retention;
  }

  /** Returns reports of everything known, for a receiver that knows nothing yet. */
  List<CrashReport> reports(RequestIdentity request) {
    List<CrashReport> reports = new ArrayList<>();
    crashes.forEach(
        (server, warned) -> reports.add(new CrashReport.Crashed(request, server, warned)));
    if (!cleared.isEmpty() || clearedTrials > 0) {
      reports.add(new CrashReport.Cleared(request, cleared, clearedTrials));
    }
    if (trials > 0) {
      reports.add(new CrashReport.TrialStarted(request, trials));
    }
    return reports;
  }
}
