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
 * The requests during which servers crashed. Immutable; each update returns a new table.
 *
 * <p>The size is bounded: when the table is full, the case with the fewest crashes is evicted
 * first, and among those the oldest. Each crash adds the identities of every request in flight on
 * that server, so a single crash can add many cases. To evict a suspect request, however, an
 * attacker must fill the table with requests that were each in flight during at least two crashes.
 */
public final class CrashTable {
  /** Maximum number of cases; each takes about a kilobyte at most. */
  static final int MAX_CASES = 1024;

  private static final Comparator<Map.Entry<RequestIdentity, CrashCase>> EVICTION_ORDER =
      Comparator.<Map.Entry<RequestIdentity, CrashCase>>comparingInt(
              entry -> entry.getValue().crashes().size())
          .thenComparingLong(entry -> entry.getValue().lastChangeNanos());

  /**
   * Orders cases by the strength of their evidence. While all crashes of a request came with one
   * caller, they are attributed to the caller-specific request, so that other callers are not
   * rejected; after a crash with a second caller, they are attributed to the request content. Ties
   * are broken identically on every instance.
   */
  private static final Comparator<Map.Entry<RequestIdentity, CrashCase>> STRONGEST_EVIDENCE_FIRST =
      Comparator.<Map.Entry<RequestIdentity, CrashCase>>comparingInt(
              entry -> -entry.getValue().crashes().size())
          .thenComparing(entry -> !entry.getKey().callerSpecific())
          .thenComparing(entry -> entry.getKey().toString());

  /** Table without any cases. */
  public static final CrashTable EMPTY = new CrashTable(Map.of());

  private final Map<RequestIdentity, CrashCase> cases;

  /** The cases without the crashes that are attributed to another, confirmed request. */
  private final Map<RequestIdentity, CrashCase> effectiveCases;

  private final Set<String> crashedServers;

  private CrashTable(Map<RequestIdentity, CrashCase> cases) {
    this.cases = cases;
    this.effectiveCases = effectiveCases(cases);
    this.crashedServers = new HashSet<>();
    cases.values().forEach(crashCase -> crashedServers.addAll(crashCase.crashes().keySet()));
  }

  /**
   * Attributes each crash to one cause: a crash during a confirmed request is not counted against
   * any other request. Otherwise a caller that polls one path would be blamed as well when its
   * trial goes to the same server as the cause.
   */
  private static Map<RequestIdentity, CrashCase> effectiveCases(
      Map<RequestIdentity, CrashCase> cases) {
    List<Map.Entry<RequestIdentity, CrashCase>> confirmed =
        cases.entrySet().stream()
            .filter(entry -> entry.getValue().confirmed())
            .sorted(STRONGEST_EVIDENCE_FIRST)
            .toList();
    if (confirmed.isEmpty()) {
      return cases;
    }
    Set<String> explained = new HashSet<>();
    Map<RequestIdentity, CrashCase> effective = new HashMap<>();
    for (Map.Entry<RequestIdentity, CrashCase> entry : confirmed) {
      CrashCase remaining = entry.getValue().withoutExplained(explained);
      effective.put(entry.getKey(), remaining);
      if (remaining.confirmed()) {
        explained.addAll(remaining.crashes().keySet());
      }
    }
    cases.forEach(
        (request, crashCase) ->
            effective.computeIfAbsent(request, key -> crashCase.withoutExplained(explained)));
    return effective;
  }

  /**
   * The result of an update.
   *
   * @param table the updated table
   * @param newReports the reports that changed the table
   */
  public record Update(CrashTable table, List<CrashReport> newReports) {}

  /** Returns an update with reports applied. */
  public Update with(List<CrashReport> reports, long nowNanos) {
    Map<RequestIdentity, CrashCase> next = new HashMap<>(cases);
    List<CrashReport> newReports = new ArrayList<>();
    for (CrashReport report : reports) {
      CrashCase before = next.getOrDefault(report.request(), CrashCase.NONE);
      CrashCase after = before.with(report, nowNanos);
      if (!after.equals(before)) {
        newReports.add(report);
        next.put(report.request(), after);
        evictIfFull(next);
      }
    }
    return newReports.isEmpty()
        ? new Update(this, newReports)
        : new Update(new CrashTable(next), newReports);
  }

  private static void evictIfFull(Map<RequestIdentity, CrashCase> cases) {
    if (cases.size() > MAX_CASES) {
      cases.entrySet().stream().min(EVICTION_ORDER).map(Map.Entry::getKey).ifPresent(cases::remove);
    }
  }

  /** Returns this table without expired cases. */
  public CrashTable withoutExpired(long nowNanos) {
    Map<RequestIdentity, CrashCase> kept = new HashMap<>(cases);
    kept.values().removeIf(crashCase -> crashCase.expired(nowNanos));
    return kept.size() == cases.size() ? this : new CrashTable(kept);
  }

  /** Whether the table has no cases. */
  public boolean isEmpty() {
    return cases.isEmpty();
  }

  /** Decides how to handle a request now. */
  public Verdict verdict(RequestIdentity request, long nowNanos) {
    return effectiveCase(request).verdict(nowNanos);
  }

  /** The level of suspicion against a request. */
  public SuspicionLevel suspicionLevel(RequestIdentity request) {
    return effectiveCase(request).suspicionLevel();
  }

  /** Time until the next trial of a request is allowed; zero or less if it is allowed now. */
  public long nanosUntilTrial(RequestIdentity request, long nowNanos) {
    return effectiveCase(request).nanosUntilTrial(nowNanos);
  }

  /** Whether a request is confirmed to crash servers. */
  public boolean confirmed(RequestIdentity request) {
    return effectiveCase(request).confirmed();
  }

  /** Number of times a request was let through as a suspect. */
  public int trials(RequestIdentity request) {
    return crashCase(request).trials();
  }

  /** Incarnations that crashed while serving a request. */
  public Set<String> serversCrashedDuring(RequestIdentity request) {
    return effectiveCase(request).crashes().keySet();
  }

  /** Creates a report that clears a request of all crashes and trials. */
  public CrashReport clearanceFor(RequestIdentity request) {
    return new CrashReport.Cleared(
        request, crashCase(request).crashes().keySet(), crashCase(request).trials());
  }

  /** Whether an answer would clear anything counted against a request. */
  public boolean clearable(RequestIdentity request) {
    return crashCase(request).clearable();
  }

  /** A crash while serving a request, if it has not been cleared. */
  public Optional<CrashReport.Crashed> crash(RequestIdentity request, String server) {
    return Optional.ofNullable(crashCase(request).crashes().get(server))
        .map(warned -> new CrashReport.Crashed(request, server, warned));
  }

  /** Whether a crash while serving a request was reported and has been cleared since. */
  public boolean cleared(RequestIdentity request, String server) {
    return crashCase(request).cleared().contains(server);
  }

  /** Whether a server is presumed to have crashed. */
  public boolean presumedCrashed(String server) {
    return crashedServers.contains(server);
  }

  /**
   * Creates reports that clear the crashes of a server which turned out to be alive, if they were
   * reported before the given time.
   */
  public List<CrashReport> clearancesForServer(String server, long reportedBeforeNanos) {
    List<CrashReport> clearances = new ArrayList<>();
    cases.forEach(
        (request, crashCase) -> {
          if (crashCase.crashes().containsKey(server)
              && crashCase.lastChangeNanos() < reportedBeforeNanos) {
            clearances.add(new CrashReport.Cleared(request, Set.of(server), 0));
          }
        });
    return clearances;
  }

  /** Returns reports of everything known, for a receiver that knows nothing yet. */
  public List<CrashReport> reports() {
    List<CrashReport> reports = new ArrayList<>();
    cases.forEach((request, crashCase) -> reports.addAll(crashCase.reports(request)));
    return reports;
  }

  /** Number of requests at a level of suspicion. */
  public long count(SuspicionLevel level) {
    return effectiveCases.values().stream()
        .filter(crashCase -> crashCase.suspicionLevel() == level)
        .count();
  }

  private CrashCase effectiveCase(RequestIdentity request) {
    return effectiveCases.getOrDefault(request, CrashCase.NONE);
  }

  private CrashCase crashCase(RequestIdentity request) {
    return cases.getOrDefault(request, CrashCase.NONE);
  }
}
