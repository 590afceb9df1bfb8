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
 * Reports of requests during which servers crash, from this instance and from others. Thread-safe:
 * requests read a table that is replaced as a whole.
 */
public final class CrashWatch {
  /** Source of reports. */
  public enum Source {
    /** Created by this instance from its own requests. */
    OWN,
    /**
     * Received by the front from an instance that subscribes to this one; not used by the entry.
     */
    LISTENER,
    /**
     * Received by the front from an instance to which this one subscribes, or by the entry from a
     * peer through gossip.
     */
    PEER,
    /** Read by the front from the store; not used by the entry. */
    STORE
  }

  /**
   * Effect of reports that were received together.
   *
   * @param newReports reports that were not known here
   * @param changes requests whose suspicion level they changed
   * @param source source of the reports
   */
  public record Update(List<CrashReport> newReports, List<Change> changes, Source source) {}

  /**
   * A request whose suspicion level changed.
   *
   * @param level new suspicion level
   * @param crashedServers incarnations whose crashes count against the request
   */
  public record Change(RequestIdentity request, SuspicionLevel level, Set<String> crashedServers) {}

  /** Receives updates. */
  @FunctionalInterface
  public interface Listener {
    /** Called on the thread that received the reports. */
    void updated(Update update);
  }

  private final Clocks clocks;
  private final AtomicReference<CrashTable> table = new AtomicReference<>(CrashTable.EMPTY);
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private volatile BooleanSupplier trialsAllowed = () -> true;

  public CrashWatch(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Adds a listener for updates. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /**
   * Sets the condition under which trials may begin here: that other instances would receive the
   * report of a trial.
   */
  public void allowTrialsWhen(BooleanSupplier condition) {
    trialsAllowed = condition;
  }

  /** Returns the current table. */
  public CrashTable table() {
    return table.get();
  }

  /** Returns whether there are no reports of any request, so that none needs to be looked up. */
  public boolean isEmpty() {
    return table.get().isEmpty();
  }

  /**
   * Returns what may be done with a request now. An instance whose reports reach no other instance
   * begins no trial: otherwise, each of a hundred such instances would begin a trial of its own,
   * and each trial costs a server.
   */
  public Verdict verdict(RequestIdentity request) {
    Verdict verdict = table.get().verdict(request, clocks.nanos());
    boolean denied = verdict == Verdict.TRIAL && !trialsAllowed.getAsBoolean();
    return denied ? Verdict.REFUSED : verdict;
  }

  /**
   * Records that a suspect request is about to be sent to a server, so that no other instance sends
   * it as well.
   */
  public void recordTrial(RequestIdentity request) {
    int trial = table.get().trials(request) + 1;
    add(List.of(new CrashReport.TrialStarted(request, trial)), Source.OWN);
  }

  /**
   * Records that a server crashed while serving a request.
   *
   * @param identities all identities under which the request is judged
   * @param warned whether the request was already suspect when it was sent
   */
  public void recordCrash(List<RequestIdentity> identities, String server, boolean warned) {
    List<CrashReport> reports = new ArrayList<>();
    identities.forEach(identity -> reports.add(new CrashReport.Crashed(identity, server, warned)));
    add(reports, Source.OWN);
  }

  /**
   * Records that a server has answered a request and is alive.
   *
   * @param identities all identities under which the request is judged
   * @param sentNanos when the request was sent; reports received later may be newer than the answer
   */
  public void recordAnswer(List<RequestIdentity> identities, String server, long sentNanos) {
    CrashTable current = table.get();
    List<CrashReport> reports = new ArrayList<>();
    for (RequestIdentity identity : identities) {
      if (current.clearable(identity)) {
        reports.add(current.clearanceFor(identity));
      }
    }
    if (current.presumedCrashed(server)) {
      reports.addAll(current.clearancesForServer(server, sentNanos));
    }
    if (!reports.isEmpty()) {
      add(reports, Source.OWN);
    }
  }

  /** Receives reports from other instances or from the store. */
  public void receive(List<CrashReport> reports, Source source) {
    if (!reports.isEmpty()) {
      add(reports, source);
    }
  }

  /** Removes expired reports. */
  public synchronized void removeExpired() {
    table.set(table.get().withoutExpired(clocks.nanos()));
  }

  private void add(List<CrashReport> reports, Source source) {
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
    Set<RequestIdentity> affected = new LinkedHashSet<>();
    update.newReports().forEach(report -> affected.add(report.request()));
    List<Change> changes = new ArrayList<>();
    for (RequestIdentity request : affected) {
      SuspicionLevel level = update.table().suspicionLevel(request);
      if (level != before.suspicionLevel(request)) {
        changes.add(new Change(request, level, update.table().serversCrashedDuring(request)));
      }
    }
    return changes;
  }
}
