package org.magnoliaswitch.front.process;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.crash.CrashReport;
import org.magnoliaswitch.front.crash.CrashTable;
import org.magnoliaswitch.front.crash.RequestIdentity;
import org.magnoliaswitch.front.crash.Standing;
import org.magnoliaswitch.front.crash.Verdict;

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

  /** Is told of reports that were new here. */
  @FunctionalInterface
  public interface Listener {
    /** Called on the thread that brought the reports. */
    void learnt(List<CrashReport> news, Source source);
  }

  private final Clocks clocks;
  private final EventLog log;
  private final FrontMetrics metrics;
  private final AtomicReference<CrashTable> table = new AtomicReference<>(CrashTable.EMPTY);
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private volatile BooleanSupplier trialsCoordinated = () -> true;

  public CrashWatch(Clocks clocks, EventLog log, FrontMetrics metrics) {
    this.clocks = clocks;
    this.log = log;
    this.metrics = metrics;
    for (Standing standing : List.of(Standing.SUSPECT, Standing.CONFIRMED)) {
      String name = standing.name().toLowerCase(Locale.ROOT);
      metrics.gauge("crash." + name + ".requests", () -> table.get().count(standing));
    }
  }

  /** Adds somebody who is told of news. */
  public void listen(Listener listener) {
    listeners.add(listener);
  }

  /** Sets how to know whether others would hear of a trial that begins here. */
  public void coordinateTrials(BooleanSupplier heardByOthers) {
    trialsCoordinated = heardByOthers;
  }

  /** What is known now. */
  public CrashTable table() {
    return table.get();
  }

  /** Whether nothing is known of any request, so that none needs to be looked up. */
  public boolean quiet() {
    return table.get().isEmpty();
  }

  /**
   * What may be done with a request now. An instance that nobody hears makes no trial: each of a
   * hundred would make one of its own, and each takes a server.
   */
  public Verdict verdict(RequestIdentity request) {
    Verdict verdict = table.get().verdict(request, clocks.nanos());
    boolean alone = verdict == Verdict.TRIAL && !trialsCoordinated.getAsBoolean();
    return alone ? Verdict.REFUSED : verdict;
  }

  /** Notes that a suspect request is about to be let through, so that nobody else does it too. */
  public void tried(RequestIdentity request) {
    int trial = table.get().trials(request) + 1;
    take(List.of(new CrashReport.Tried(request, trial)), Source.OWN);
  }

  /** Notes a server's end under a request. */
  public void ended(RequestIdentity request, String server, boolean warned) {
    take(List.of(new CrashReport.Ended(request, server, warned)), Source.OWN);
  }

  /**
   * Notes that a server has run a request and lives.
   *
   * @param sentNanos when the request was sent; what became known later may be newer than the
   *     answer
   */
  public void answered(RequestIdentity request, String server, long sentNanos) {
    CrashTable now = table.get();
    List<CrashReport> reports = new ArrayList<>();
    if (!now.endsUnder(request).isEmpty()) {
      reports.add(now.clearanceOf(request));
    }
    if (now.believedEnded(server)) {
      reports.addAll(now.clearancesOf(server, sentNanos));
    }
    if (!reports.isEmpty()) {
      take(reports, Source.OWN);
    }
  }

  /** Takes reports of others. */
  public void heard(List<CrashReport> reports, Source source) {
    if (!reports.isEmpty()) {
      take(reports, source);
    }
  }

  /** Forgets what has been quiet for long. */
  public void forgetOutdated() {
    long now = clocks.nanos();
    table.updateAndGet(known -> known.withoutOutdated(now));
  }

  private void take(List<CrashReport> reports, Source source) {
    List<CrashReport> news;
    synchronized (this) {
      CrashTable before = table.get();
      CrashTable.Update update = before.with(reports, clocks.nanos());
      table.set(update.table());
      news = update.news();
      tell(before, update, source);
    }
    if (!news.isEmpty()) {
      listeners.forEach(listener -> listener.learnt(news, source));
    }
  }

  private void tell(CrashTable before, CrashTable.Update update, Source source) {
    Set<RequestIdentity> changed = new LinkedHashSet<>();
    update.news().forEach(report -> changed.add(report.request()));
    for (RequestIdentity request : changed) {
      Standing standing = update.table().standing(request);
      if (standing != before.standing(request)) {
        tell(request, standing, update.table().endsUnder(request), source);
      }
    }
  }

  private void tell(RequestIdentity request, Standing standing, Set<String> ends, Source source) {
    String name = standing.name().toLowerCase(Locale.ROOT);
    metrics.count("crash.standings", "", name);
    log.belief("crash_standing")
        .add("identity", request.toString())
        .add("standing", name)
        .add("ends", ends.size())
        .add("servers", String.join("/", ends))
        .add("source", source.name().toLowerCase(Locale.ROOT))
        .write();
  }
}
