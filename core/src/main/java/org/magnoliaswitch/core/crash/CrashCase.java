package org.magnoliaswitch.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What is known of one request under which servers ended.
 *
 * <p>When a server ends, everything it was running is suspect, and most of it are bystanders. What
 * tells the cause is that it does it again: two ends make a request suspect, and a suspect is let
 * through to one server at a time. If that one ends too, the request is confirmed; any whole answer
 * clears it. Ends alone never confirm, however many: a caller that polls one path has a copy on
 * every server that goes when a data centre loses power.
 *
 * @param ends incarnations that ended under it, with whether its sender was warned
 * @param cleared incarnations whose ends do not count any more
 * @param trials how often it was let through as a suspect
 * @param clearedTrials how many of these were made before an answer cleared it
 * @param changedNanos when the last end or trial became known here
 */
record CrashCase(
    Map<String, Boolean> ends,
    Set<String> cleared,
    int trials,
    int clearedTrials,
    long changedNanos) {
  /** A bystander seldom meets two ends in a row; the cause never meets anything else. */
  static final int SUSPECT_ENDS = 2;

  /** With a trial among them, three ends are no chance any more. */
  private static final int CONFIRMED_ENDS = 3;

  /**
   * Ends kept of one request. More tell nothing new about it, but the ends of a confirmed one are
   * held against no other.
   */
  private static final int MAX_ENDS = 16;

  /** Cleared ends kept, so that reports of them which come late change nothing. */
  private static final int MAX_CLEARED = 16;

  /**
   * Pause after a first trial that told nothing, six times as long after each further one. A trial
   * takes a server's time of work, at most some seconds.
   */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Time in which a trial tells something, longer than nearly all answers take. Copies of a request
   * wait for it: while servers end for other reasons, callers that poll one path would lose tries
   * if they were turned away.
   */
  private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int PAUSE_FACTOR = 6;

  /**
   * How long a confirmed request is turned away before it is let through once more. A mended
   * release of the servers is then noticed without an operator, and an unmended one costs one
   * server an hour.
   */
  private static final long CONFIRMED_PAUSE_NANOS = TimeUnit.HOURS.toNanos(1);

  /** A lone end is forgotten after this time: a caller that comes back does so within seconds. */
  private static final long FORGET_SINGLE_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Cleared cases are kept while reports of their ends may still be under way. */
  private static final long FORGET_CLEARED_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** A suspect that has not come again for a day is forgotten. */
  private static final long FORGET_SUSPECT_NANOS = TimeUnit.DAYS.toNanos(1);

  static final CrashCase NONE = new CrashCase(Map.of(), Set.of(), 0, 0, 0);

  CrashCase {
    ends = Map.copyOf(ends);
    cleared = Set.copyOf(cleared);
  }

  /** This case with a report added; the same object when the report is not new. */
  CrashCase with(CrashReport report, long nowNanos) {
    return switch (report) {
      case CrashReport.Crashed ended -> withEnd(ended, nowNanos);
      case CrashReport.Cleared gone -> without(gone);
      case CrashReport.TrialStarted tried ->
          tried.trialNumber() <= trials
              ? this
              : new CrashCase(ends, cleared, tried.trialNumber(), clearedTrials, nowNanos);
    };
  }

  private CrashCase withEnd(CrashReport.Crashed ended, long nowNanos) {
    boolean known = ends.containsKey(ended.server());
    boolean nothingNew = known && (ends.get(ended.server()) || !ended.warned());
    boolean full = !known && ends.size() >= MAX_ENDS;
    if (nothingNew || full || cleared.contains(ended.server())) {
      return this;
    }
    Map<String, Boolean> more = new HashMap<>(ends);
    more.merge(ended.server(), ended.warned(), Boolean::logicalOr);
    return new CrashCase(more, cleared, trials, clearedTrials, nowNanos);
  }

  /** Only ends and trials that the report names are taken away: later ones count. */
  private CrashCase without(CrashReport.Cleared report) {
    Set<String> gone = new HashSet<>(cleared);
    gone.addAll(report.servers());
    int trialsGone = Math.max(clearedTrials, report.trials());
    if (gone.size() == cleared.size() && trialsGone == clearedTrials) {
      return this;
    }
    Map<String, Boolean> left = new HashMap<>(ends);
    left.keySet().removeAll(gone);
    Set<String> remembered = gone.size() > MAX_CLEARED ? report.servers() : gone;
    return new CrashCase(left, remembered, trials, trialsGone, changedNanos);
  }

  /** This case without ends that another request is the cause of. */
  CrashCase unexplained(Set<String> explained) {
    if (ends.keySet().stream().noneMatch(explained::contains)) {
      return this;
    }
    Map<String, Boolean> left = new HashMap<>(ends);
    left.keySet().removeAll(explained);
    return new CrashCase(left, cleared, trials, clearedTrials, changedNanos);
  }

  /** What may be done with the request now. */
  Verdict verdict(long nowNanos) {
    if (ends.size() < SUSPECT_ENDS) {
      return Verdict.ALLOWED;
    }
    if (pausedNanos(nowNanos) <= 0) {
      return Verdict.TRIAL;
    }
    boolean underWay = !confirmed() && nowNanos - changedNanos < TRIAL_NANOS;
    return underWay ? Verdict.WAIT : Verdict.REFUSED;
  }

  /** Time until the request is let through again; zero or less when it may be. */
  long pausedNanos(long nowNanos) {
    return changedNanos + pauseNanos() - nowNanos;
  }

  private long pauseNanos() {
    if (confirmed()) {
      return CONFIRMED_PAUSE_NANOS;
    }
    int inVain = trials - clearedTrials;
    double pause = (double) FIRST_PAUSE_NANOS * Math.pow(PAUSE_FACTOR, inVain - 1.0);
    return inVain <= 0 ? 0 : Math.min(CONFIRMED_PAUSE_NANOS, (long) pause);
  }

  /**
   * Whether an answer would clear anything: ends, or a trial that was made beside another and whose
   * answer comes after that one's. Left standing, it would count as one in vain for the next ends.
   */
  boolean clearable() {
    return !ends.isEmpty() || trials > clearedTrials;
  }

  /** Whether so many servers ended that it is not a bystander, a warned sender's among them. */
  boolean confirmed() {
    return ends.size() >= CONFIRMED_ENDS && ends.containsValue(true);
  }

  /** How far the request is under suspicion. */
  SuspicionLevel standing() {
    if (confirmed()) {
      return SuspicionLevel.CONFIRMED;
    }
    return ends.size() >= SUSPECT_ENDS ? SuspicionLevel.SUSPECT : SuspicionLevel.UNSUSPECTED;
  }

  /** Whether it has been quiet for so long that it is no longer kept. */
  boolean outdated(long nowNanos) {
    long keep =
        switch (ends.size()) {
          case 0 -> FORGET_CLEARED_NANOS;
          case 1 -> FORGET_SINGLE_NANOS;
          default -> FORGET_SUSPECT_NANOS;
        };
    return nowNanos - changedNanos > keep;
  }

  /** Everything that is known, for somebody who knows nothing yet. */
  List<CrashReport> reports(RequestIdentity request) {
    List<CrashReport> reports = new ArrayList<>();
    ends.forEach((server, warned) -> reports.add(new CrashReport.Crashed(request, server, warned)));
    if (!cleared.isEmpty() || clearedTrials > 0) {
      reports.add(new CrashReport.Cleared(request, cleared, clearedTrials));
    }
    if (trials > 0) {
      reports.add(new CrashReport.TrialStarted(request, trials));
    }
    return reports;
  }
}
