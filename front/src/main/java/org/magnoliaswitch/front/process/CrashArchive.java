package org.magnoliaswitch.front.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.SuspicionLevel;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.loop.Loop;

/**
 * Keeps ends of servers under requests in the store, so that they outlast a loss of all instances
 * and reach instances that hear no peers. Runs on the control loop.
 *
 * <p>Most requests under which a server ends are bystanders that a second server answers within a
 * moment. A first end is written only when it still counts after that moment, so an ordinary crash
 * costs no call.
 */
final class CrashArchive {
  /** A bystander's second send is answered within this time; what still counts is written. */
  private static final long WRITE_DELAY_MILLIS = 300;

  /** Wait after a write that was not confirmed. */
  private static final long RETRY_MILLIS = 1_000;

  /** Ends of one write; the store takes a hundred entries a call. */
  private static final int MAX_ENTRIES = 100;

  /** Ends that wait to be written; of a flood the first ones are as good as all. */
  private static final int MAX_PENDING = 500;

  /** A row that is older than this is removed: suspects are forgotten after a day. */
  private static final long MAX_AGE_MILLIS = TimeUnit.DAYS.toMillis(1);

  private final CrashStore store;
  private final CrashWatch watch;
  private final Loop loop;
  private final Clocks clocks;
  private final EventLog log;
  private final FrontMetrics metrics;
  private final BooleanSupplier toldByPeers;
  private final Set<End> pending = new LinkedHashSet<>();

  /** What the last read found. Own writes are no part of it: a read may have passed one. */
  private final Set<End> found = new HashSet<>();

  private boolean writing;
  private boolean reading;
  private boolean readOnce;

  /** One end, whoever reported it. */
  private record End(RequestIdentity request, String server) {
    static End of(CrashReport.Crashed ended) {
      return new End(ended.request(), ended.server());
    }
  }

  /**
   * Creates one.
   *
   * @param toldByPeers whether other instances tell what they know
   */
  CrashArchive(CrashStore store, Environment environment, Loop loop, BooleanSupplier toldByPeers) {
    this.store = store;
    this.watch = environment.crashes();
    this.loop = loop;
    this.clocks = environment.clocks();
    this.log = environment.log();
    this.metrics = environment.metrics();
    this.toldByPeers = toldByPeers;
  }

  /** Takes reports of this instance. */
  void own(List<CrashReport> reports) {
    for (CrashReport report : reports) {
      if (report instanceof CrashReport.Crashed ended && pending.size() < MAX_PENDING) {
        pending.add(End.of(ended));
        boolean suspect =
            watch.table().suspicionLevel(ended.request()) != SuspicionLevel.UNSUSPECTED;
        loop.afterMillis(suspect ? 0 : WRITE_DELAY_MILLIS, this::write);
      }
    }
  }

  /**
   * Reads what is kept, whenever this instance reads the platform itself. Right after a start its
   * callers wait, and peers tell it all they know.
   */
  void read() {
    boolean skipped = !readOnce && toldByPeers.getAsBoolean();
    readOnce = true;
    if (!skipped && !reading) {
      reading = true;
      store.read(this::read);
    }
  }

  private void read(StateSource.Read<List<CrashStore.StoredCrash>> read) {
    reading = false;
    switch (read) {
      case StateSource.Read.Known<List<CrashStore.StoredCrash>> known -> take(known.value());
      case StateSource.Read.Unchanged<List<CrashStore.StoredCrash>> unchanged -> {
        // Nothing to take.
      }
      case StateSource.Read.Failed<List<CrashStore.StoredCrash>> failed ->
          metrics.count("crash.store.calls", "", failed.reason());
    }
  }

  private void take(List<CrashStore.StoredCrash> rows) {
    long now = clocks.millis();
    List<CrashReport> counting = new ArrayList<>();
    List<CrashReport.Crashed> outdated = new ArrayList<>();
    Set<End> foundNow = new HashSet<>();
    for (CrashStore.StoredCrash row : rows) {
      CrashReport.Crashed ended = row.ended();
      boolean old = now - row.epochMillis() > MAX_AGE_MILLIS;
      if (old || watch.table().cleared(ended.request(), ended.server())) {
        outdated.add(ended);
      } else {
        foundNow.add(End.of(ended));
        counting.add(ended);
      }
    }
    List<CrashReport> lifted = lifted(foundNow);
    found.clear();
    found.addAll(foundNow);
    watch.heard(counting, CrashWatch.Source.STORE);
    watch.heard(lifted, CrashWatch.Source.STORE);
    if (!outdated.isEmpty() && !writing) {
      change(List.of(), outdated);
    }
  }

  /** Rows that were there before and are not any more: an operator lifts a suspicion so. */
  private List<CrashReport> lifted(Set<End> foundNow) {
    Set<RequestIdentity> gone = new HashSet<>();
    for (End end : found) {
      boolean counts = watch.table().crash(end.request(), end.server()).isPresent();
      if (!foundNow.contains(end) && counts) {
        gone.add(end.request());
      }
    }
    return gone.stream().map(watch.table()::clearanceFor).toList();
  }

  private void write() {
    List<CrashReport.Crashed> puts = writing ? List.of() : stillCounting();
    if (!puts.isEmpty()) {
      change(puts, List.of());
    }
  }

  private List<CrashReport.Crashed> stillCounting() {
    List<CrashReport.Crashed> puts = new ArrayList<>();
    for (End end : List.copyOf(pending)) {
      Optional<CrashReport.Crashed> counts = watch.table().crash(end.request(), end.server());
      if (counts.isEmpty()) {
        pending.remove(end);
      } else if (puts.size() < MAX_ENTRIES) {
        puts.add(counts.get());
      }
    }
    return puts;
  }

  private void change(List<CrashReport.Crashed> puts, List<CrashReport.Crashed> removals) {
    writing = true;
    store.change(puts, removals, confirmed -> changed(puts, removals, confirmed));
  }

  private void changed(
      List<CrashReport.Crashed> puts, List<CrashReport.Crashed> removals, boolean confirmed) {
    writing = false;
    metrics.count("crash.store.calls", "", confirmed ? "confirmed" : "unconfirmed");
    log.stateChange("crash_archived")
        .add("added", puts.size())
        .add("removed", removals.size())
        .add("confirmed", String.valueOf(confirmed))
        .write();
    if (confirmed) {
      puts.forEach(ended -> pending.remove(End.of(ended)));
    }
    if (!pending.isEmpty()) {
      loop.afterMillis(confirmed ? 0 : RETRY_MILLIS, this::write);
    }
  }
}
