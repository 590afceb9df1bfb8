package org.magnoliaswitch.front.process;

import java.util.List;
import java.util.Locale;
import org.magnoliaswitch.core.crash.SuspicionLevel;
import org.magnoliaswitch.core.process.CrashWatch;

/** Logs and counts changes in the suspicion level of requests during which servers crash. */
public final class CrashLog implements CrashWatch.Listener {
  private final EventLog log;
  private final FrontMetrics metrics;

  /** Subscribes to a watch and logs its changes from now on. */
  public CrashLog(CrashWatch watch, EventLog log, FrontMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    for (SuspicionLevel level : List.of(SuspicionLevel.SUSPECT, SuspicionLevel.CONFIRMED)) {
      metrics.gauge(
          "crash." + lowerCaseName(level) + ".requests", () -> watch.table().count(level));
    }
    watch.addListener(this);
  }

  @Override
  public void updated(CrashWatch.Update update) {
    update.changes().forEach(change -> logChange(change, update.source()));
  }

  private void logChange(CrashWatch.Change change, CrashWatch.Source source) {
    metrics.count("crash.standings", "", lowerCaseName(change.level()));
    log.stateChange("crash_standing")
        .add("identity", change.request().toString())
        .add("standing", lowerCaseName(change.level()))
        .add("ends", change.crashedServers().size())
        .add("servers", String.join("/", change.crashedServers()))
        .add("source", lowerCaseName(source))
        .write();
  }

  private static String lowerCaseName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
