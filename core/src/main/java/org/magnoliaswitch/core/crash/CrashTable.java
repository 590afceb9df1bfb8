package org.magnoliaswitch.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The requests under which servers ended, swapped as a whole.
 *
 * <p>Bounded: when it is full, the case with the fewest ends goes first, and of those the oldest.
 * Somebody who wants to push a real cause out must end two servers for each place.
 */
public final class CrashTable {
  /** Cases kept; one takes about a kilobyte at most. */
  static final int MAX_CASES = 1024;

  private static final Comparator<Map.Entry<RequestIdentity, CrashCase>> LEAST_WORTH_FIRST =
      Comparator.<Map.Entry<RequestIdentity, CrashCase>>comparingInt(
              entry -> entry.getValue().ends().size())
          .thenComparingLong(entry -> entry.getValue().changedNanos());

  /**
   * The strongest first. While all ends of a request came with one caller, it is that caller's
   * request which explains them, so that nobody has others turned away; with a second caller's end
   * what they ask for is the stronger one. Of equals the same one is first at every instance.
   */
  private static final Comparator<Map.Entry<RequestIdentity, CrashCase>> STRONGEST_FIRST =
      Comparator.<Map.Entry<RequestIdentity, CrashCase>>comparingInt(
              entry -> -entry.getValue().ends().size())
          .thenComparing(entry -> !entry.getKey().callerSpecific())
          .thenComparing(entry -> entry.getKey().toString());

  /** Knows of nothing. */
  public static final CrashTable EMPTY = new CrashTable(Map.of());

  private final Map<RequestIdentity, CrashCase> cases;

  /** The cases without the ends that a confirmed request explains. */
  private final Map<RequestIdentity, CrashCase> judged;

  private final Set<String> ended;

  private CrashTable(Map<RequestIdentity, CrashCase> cases) {
    this.cases = cases;
    this.judged = judged(cases);
    this.ended = new HashSet<>();
    cases.values().forEach(known -> ended.addAll(known.ends().keySet()));
  }

  /**
   * A server ends once and has one cause: what ended under a confirmed request is held against no
   * other. Without that, a caller that polls one path is blamed with the cause when its trial goes
   * to the same server.
   */
  private static Map<RequestIdentity, CrashCase> judged(Map<RequestIdentity, CrashCase> cases) {
    List<Map.Entry<RequestIdentity, CrashCase>> confirmed =
        cases.entrySet().stream()
            .filter(entry -> entry.getValue().confirmed())
            .sorted(STRONGEST_FIRST)
            .toList();
    if (confirmed.isEmpty()) {
      return cases;
    }
    Set<String> explained = new HashSet<>();
    Map<RequestIdentity, CrashCase> judged = new HashMap<>();
    for (Map.Entry<RequestIdentity, CrashCase> entry : confirmed) {
      CrashCase left = entry.getValue().unexplained(explained);
      judged.put(entry.getKey(), left);
      if (left.confirmed()) {
        explained.addAll(left.ends().keySet());
      }
    }
    cases.forEach(
        (request, known) -> judged.computeIfAbsent(request, key -> known.unexplained(explained)));
    return judged;
  }

  /**
   * A table with reports added.
   *
   * @param table the table
   * @param newReports those of the reports that changed it
   */
  public record Update(CrashTable table, List<CrashReport> newReports) {}

  /** Adds reports. */
  public Update with(List<CrashReport> reports, long nowNanos) {
    Map<RequestIdentity, CrashCase> next = new HashMap<>(cases);
    List<CrashReport> news = new ArrayList<>();
    for (CrashReport report : reports) {
      CrashCase before = next.getOrDefault(report.request(), CrashCase.NONE);
      CrashCase after = before.with(report, nowNanos);
      if (!after.equals(before)) {
        news.add(report);
        next.put(report.request(), after);
        dropLeastWorth(next);
      }
    }
    return news.isEmpty() ? new Update(this, news) : new Update(new CrashTable(next), news);
  }

  private static void dropLeastWorth(Map<RequestIdentity, CrashCase> cases) {
    if (cases.size() > MAX_CASES) {
      cases.entrySet().stream()
          .min(LEAST_WORTH_FIRST)
          .map(Map.Entry::getKey)
          .ifPresent(cases::remove);
    }
  }

  /** This table without cases that have been quiet for long. */
  public CrashTable withoutExpired(long nowNanos) {
    Map<RequestIdentity, CrashCase> kept = new HashMap<>(cases);
    kept.values().removeIf(known -> known.outdated(nowNanos));
    return kept.size() == cases.size() ? this : new CrashTable(kept);
  }

  /** Whether nothing is known of any request. */
  public boolean isEmpty() {
    return cases.isEmpty();
  }

  /** What may be done with a request now. */
  public Verdict verdict(RequestIdentity request, long nowNanos) {
    return judged(request).verdict(nowNanos);
  }

  /** How far a request is under suspicion. */
  public SuspicionLevel suspicionLevel(RequestIdentity request) {
    return judged(request).standing();
  }

  /** Time until a request is let through again; zero or less when it may be. */
  public long nanosUntilTrial(RequestIdentity request, long nowNanos) {
    return judged(request).pausedNanos(nowNanos);
  }

  /** Whether a request is confirmed to end servers. */
  public boolean confirmed(RequestIdentity request) {
    return judged(request).confirmed();
  }

  /** How often a request was let through as a suspect. */
  public int trials(RequestIdentity request) {
    return of(request).trials();
  }

  /** Incarnations that ended under a request. */
  public Set<String> serversCrashedDuring(RequestIdentity request) {
    return judged(request).ends().keySet();
  }

  /** A report that clears a request of all that is held against it. */
  public CrashReport clearanceFor(RequestIdentity request) {
    return new CrashReport.Cleared(request, of(request).ends().keySet(), of(request).trials());
  }

  /** Whether anything is held against a request that an answer clears. */
  public boolean clearable(RequestIdentity request) {
    return of(request).clearable();
  }

  /** An end under a request, if it counts. */
  public Optional<CrashReport.Crashed> crash(RequestIdentity request, String server) {
    return Optional.ofNullable(of(request).ends().get(server))
        .map(warned -> new CrashReport.Crashed(request, server, warned));
  }

  /** Whether an end under a request was reported and has been cleared since. */
  public boolean cleared(RequestIdentity request, String server) {
    return of(request).cleared().contains(server);
  }

  /** Whether a server is believed to have ended. */
  public boolean presumedCrashed(String server) {
    return ended.contains(server);
  }

  /**
   * Reports that clear all ends of a server that lives, if it was believed to have ended before.
   */
  public List<CrashReport> clearancesForServer(String server, long reportedBeforeNanos) {
    List<CrashReport> clearances = new ArrayList<>();
    cases.forEach(
        (request, known) -> {
          if (known.ends().containsKey(server) && known.changedNanos() < reportedBeforeNanos) {
            clearances.add(new CrashReport.Cleared(request, Set.of(server), 0));
          }
        });
    return clearances;
  }

  /** Everything that is known, for somebody who knows nothing yet. */
  public List<CrashReport> reports() {
    List<CrashReport> reports = new ArrayList<>();
    cases.forEach((request, known) -> reports.addAll(known.reports(request)));
    return reports;
  }

  /** Requests of a standing. */
  public long count(SuspicionLevel standing) {
    return judged.values().stream().filter(known -> known.standing() == standing).count();
  }

  private CrashCase judged(RequestIdentity request) {
    return judged.getOrDefault(request, CrashCase.NONE);
  }

  private CrashCase of(RequestIdentity request) {
    return cases.getOrDefault(request, CrashCase.NONE);
  }
}
