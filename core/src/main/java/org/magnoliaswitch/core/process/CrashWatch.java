package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.CrashTable;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.SuspicionLevel;
import org.magnoliaswitch.core.crash.Verdict;

/**
 * What this instance knows of requests under which servers end, its own reports and those of
 * others. Safe for several threads: requests read a table that is swapped as a whole.
 */
public final class CrashWatch {
  /** Where reports come from. */
  public enum Source {
    /** This instance saw it. */
    OWN,
    /** An instance told it that listens to this one. */
    LISTENER,
    /** An instance told it that this one listens to. */
    PEER,
    /** It was read from the store. */
    STORE
  }

  /**
   * What was learnt at once.
   *
   * @param news reports that were new here
   * @param changes requests whose standing they changed
   */
  public record Update(List<CrashReport> newReports, List<Change> changes, Source source) {}

  /**
   * A request whose standing changed.
   *
   * @param ends incarnations whose ends count
   */
  public record Change(RequestIdentity request, SuspicionLevel level, Set<String> crashedServers) {}

  /** Is told of what was learnt. */
  @FunctionalInterface
  public interface Listener {
    /** Called on the thread that brought the reports. */
    void updated(Update update);
  }

  private final Clocks clocks;
  private final AtomicReference<CrashTable> table = new AtomicReference<>(CrashTable.EMPTY);
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private volatile BooleanSupplier trialsAllowed = () -> true;

  public CrashWatch(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Adds somebody who is told of news. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Sets how to know whether others would hear of a trial that begins here. */
  public void allowTrialsWhen(BooleanSupplier condition) {
    trialsAllowed = condition;
  }

  /** What is known now. */
  public CrashTable table() {
    return table.get();
  }

  /** Whether nothing is known of any request, so that none needs to be looked up. */
  public boolean isEmpty() {
    return table.get().isEmpty();
  }

  /**
   * What may be done with a request now. An instance that nobody hears makes no trial: each of a
   * hundred would make one of its own, and each takes a server.
   */
  public Verdict verdict(RequestIdentity request) {
    Verdict verdict = table.get().verdict(request, clocks.nanos());
    boolean alone = verdict == Verdict.TRIAL && !trialsAllowed.getAsBoolean();
    return alone ? Verdict.REFUSED : verdict;
  }

  /** Notes that a suspect request is about to be let through, so that nobody else does it too. */
  public void recordTrial(RequestIdentity request) {
    int trial = table.get().trials(request) + 1;
    take(List.of(new CrashReport.TrialStarted(request, trial)), Source.OWN);
  }

  /**
   * Notes a server's end under a request.
   *
   * @param identities what the request is, in every way in which it is judged
   */
  public void recordCrash(List<RequestIdentity> identities, String server, boolean warned) {
    List<CrashReport> reports = new ArrayList<>();
    identities.forEach(identity -> reports.add(new CrashReport.Crashed(identity, server, warned)));
    take(reports, Source.OWN);
  }

  /**
   * Notes that a server has run a request and lives.
   *
   * @param identities what the request is, in every way in which it is judged
   * @param sentNanos when the request was sent; what became known later may be newer than the
   *     answer
   */
  public void recordAnswer(List<RequestIdentity> identities, String server, long sentNanos) {
    CrashTable now = table.get();
    List<CrashReport> reports = new ArrayList<>();
    for (RequestIdentity identity : identities) {
      if (now.clearable(identity)) {
        reports.add(now.clearanceFor(identity));
      }
    }
    if (now.presumedCrashed(server)) {
      reports.addAll(now.clearancesForServer(server, sentNanos));
    }
    if (!reports.isEmpty()) {
      take(reports, Source.OWN);
    }
  }

  /** Takes reports of others. */
  public void receive(List<CrashReport> reports, Source source) {
    if (!reports.isEmpty()) {
      take(reports, source);
    }
  }

  /** Forgets what has been quiet for long. */
  public synchronized void removeExpired() {
    table.set(table.get().withoutExpired(clocks.nanos()));
  }

  private void take(List<CrashReport> reports, Source source) {
    Update update;
    synchronized (this) {
      CrashTable before = table.get();
      CrashTable.Update tableUpdate = before.with(reports, clocks.nanos());
      table.set(tableUpdate.table());
      update = new Update(tableUpdate.newReports(), changes(before, tableUpdate), source);
    }
    if (!update.newReports().isEmpty()) {
      listeners.forEach(listener -> listener.updated(update));
    }
  }

  private static List<Change> changes(CrashTable before, CrashTable.Update update) {
    Set<RequestIdentity> touched = new LinkedHashSet<>();
    update.newReports().forEach(report -> touched.add(report.request()));
    List<Change> changes = new ArrayList<>();
    for (RequestIdentity request : touched) {
      SuspicionLevel standing = update.table().suspicionLevel(request);
      if (standing != before.suspicionLevel(request)) {
        changes.add(new Change(request, standing, update.table().serversCrashedDuring(request)));
      }
    }
    return changes;
  }
}
