package org.magnoliaswitch.front.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
 * Stores server crashes, each with the request that was in progress, so that they outlast the loss
 * of all instances and reach instances without peers. Runs on the control loop.
 *
 * <p>Most requests that are in progress when a server crashes have not caused the crash, and a
 * second server answers them shortly afterwards. A first crash is written only if it still counts
 * after that time, so an ordinary crash costs no call to the store.
 */
final class CrashArchive {
  /**
   * The second attempt of a request that has not caused a crash is answered within this time;
   * crashes that still count afterwards are written.
   */
  private static final long WRITE_DELAY_MILLIS = 300;

  /** Delay before an unconfirmed write is repeated. */
  private static final long RETRY_MILLIS = 1_000;

  /**
   * Maximum number of crashes that one write adds; the store accepts a hundred entries per call.
   * The number of crashes that one write removes is not limited.
   */
  private static final int MAX_ENTRIES = 100;

  /**
   * Maximum number of crashes that wait to be written. If there are more, further ones are not
   * written: the first ones are as useful as all.
   */
  private static final int MAX_PENDING = 500;

  /** Rows older than this are removed: suspicions expire after a day. */
  private static final long MAX_AGE_MILLIS = TimeUnit.DAYS.toMillis(1);

  private final CrashStore store;
  private final CrashWatch watch;
  private final Loop loop;
  private final Clocks clocks;
  private final EventLog log;
  private final FrontMetrics metrics;
  private final BooleanSupplier receivesFromPeers;
  private final Set<CrashKey> pending = new LinkedHashSet<>();

  /**
   * Crashes that the last read returned. Own writes are not included, since a read may have
   * overtaken one.
   */
  private final Set<CrashKey> found = new HashSet<>();

  /** Epoch of the last read, if there has been one. */
  private OptionalLong epoch = OptionalLong.empty();

  private boolean writing;
  private boolean reading;
  private boolean readOnce;

  /** Identifies a crash regardless of the instance that reported it. */
  private record CrashKey(RequestIdentity request, String server) {
    static CrashKey of(CrashReport.Crashed crash) {
      return new CrashKey(crash.request(), crash.server());
    }
  }

  /**
   * Creates an archive without pending writes.
   *
   * @param receivesFromPeers whether other instances currently send their state to this one
   */
  CrashArchive(
      CrashStore store, Environment environment, Loop loop, BooleanSupplier receivesFromPeers) {
    this.store = store;
    this.watch = environment.crashes();
    this.loop = loop;
    this.clocks = environment.clocks();
    this.log = environment.log();
    this.metrics = environment.metrics();
    this.receivesFromPeers = receivesFromPeers;
  }

  /** Queues the crashes that this instance has observed for writing. */
  void recordOwn(List<CrashReport> reports) {
    for (CrashReport report : reports) {
      if (report instanceof CrashReport.Crashed crash && pending.size() < MAX_PENDING) {
        pending.add(CrashKey.of(crash));
        boolean suspect =
            watch.table().suspicionLevel(crash.request()) != SuspicionLevel.UNSUSPECTED;
        loop.afterMillis(suspect ? 0 : WRITE_DELAY_MILLIS, this::write);
      }
    }
  }

  /**
   * Reads the stored crashes; called whenever a read of this instance from the platform has
   * returned a list of servers. Right after the start the read is skipped if peers send their state
   * anyway, since callers are waiting then.
   */
  void read() {
    boolean skipped = !readOnce && receivesFromPeers.getAsBoolean();
    readOnce = true;
    if (!skipped && !reading) {
      reading = true;
      store.read(this::read);
    }
  }

  private void read(StateSource.Read<CrashStore.StoredCrashes> read) {
    reading = false;
    switch (read) {
      case StateSource.Read.Known<CrashStore.StoredCrashes> known -> apply(known.value());
      case StateSource.Read.Unchanged<CrashStore.StoredCrashes> unchanged -> {
        // The stored crashes are the same as at the last read.
      }
      case StateSource.Read.Failed<CrashStore.StoredCrashes> failed ->
          metrics.count("crash.store.calls", "", failed.reason());
    }
  }

  private void apply(CrashStore.StoredCrashes stored) {
    long now = clocks.millis();
    List<CrashReport> current = new ArrayList<>();
    List<CrashReport.Crashed> removable = new ArrayList<>();
    Set<CrashKey> foundNow = new HashSet<>();
    for (CrashStore.StoredCrash row : stored.crashes()) {
      CrashReport.Crashed crash = row.crash();
      boolean expired = now - row.epochMillis() > MAX_AGE_MILLIS;
      if (expired || watch.table().cleared(crash.request(), crash.server())) {
        removable.add(crash);
      } else {
        foundNow.add(CrashKey.of(crash));
        current.add(crash);
      }
    }
    boolean restored = epoch.isPresent() && stored.epoch() > epoch.getAsLong();
    epoch = OptionalLong.of(stored.epoch());
    if (restored) {
      writeAgain(foundNow);
    }
    List<CrashReport> cleared = restored ? List.of() : cleared(foundNow);
    found.clear();
    found.addAll(foundNow);
    watch.receive(current, CrashWatch.Source.STORE);
    watch.receive(cleared, CrashWatch.Source.STORE);
    if (!removable.isEmpty() && !writing) {
      change(List.of(), removable);
    }
  }

  /**
   * Queues the crashes that a restored store lacks for writing. Their rows have not been removed by
   * an operator, and without them the suspicions would not outlast the instances. Every instance
   * that reads does so; rows that several of them write are the same.
   */
  private void writeAgain(Set<CrashKey> foundNow) {
    for (CrashReport report : watch.table().reports()) {
      if (report instanceof CrashReport.Crashed crash
          && pending.size() < MAX_PENDING
          && watch.table().crash(crash.request(), crash.server()).isPresent()
          && !foundNow.contains(CrashKey.of(crash))) {
        pending.add(CrashKey.of(crash));
      }
    }
    if (!pending.isEmpty()) {
      loop.afterMillis(WRITE_DELAY_MILLIS, this::write);
    }
  }

  /**
   * Returns clearances for requests whose rows have disappeared since the last read: an operator
   * clears a suspicion by removing its rows.
   */
  private List<CrashReport> cleared(Set<CrashKey> foundNow) {
    Set<RequestIdentity> clearedRequests = new HashSet<>();
    for (CrashKey key : found) {
      boolean counts = watch.table().crash(key.request(), key.server()).isPresent();
      if (!foundNow.contains(key) && counts) {
        clearedRequests.add(key.request());
      }
    }
    return clearedRequests.stream().map(watch.table()::clearanceFor).toList();
  }

  private void write() {
    List<CrashReport.Crashed> puts = writing ? List.of() : crashesToWrite();
    if (!puts.isEmpty()) {
      change(puts, List.of());
    }
  }

  private List<CrashReport.Crashed> crashesToWrite() {
    List<CrashReport.Crashed> puts = new ArrayList<>();
    for (CrashKey key : List.copyOf(pending)) {
      Optional<CrashReport.Crashed> counts = watch.table().crash(key.request(), key.server());
      if (counts.isEmpty()) {
        pending.remove(key);
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
      puts.forEach(crash -> pending.remove(CrashKey.of(crash)));
    }
    if (!pending.isEmpty()) {
      loop.afterMillis(confirmed ? 0 : RETRY_MILLIS, this::write);
    }
  }
}
