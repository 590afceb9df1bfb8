package org.magnoliaswitch.front.process;

import java.util.List;
import java.util.Locale;
import org.magnoliaswitch.core.crash.SuspicionLevel;
import org.magnoliaswitch.core.process.CrashWatch;

/** Tells and counts what becomes known of requests under which servers end. */
public final class CrashLog implements CrashWatch.Listener {
  private final EventLog log;
  private final FrontMetrics metrics;

  /** Tells of what a watch learns from now on. */
  public CrashLog(CrashWatch watch, EventLog log, FrontMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    for (SuspicionLevel standing : List.of(SuspicionLevel.SUSPECT, SuspicionLevel.CONFIRMED)) {
      metrics.gauge("crash." + word(standing) + ".requests", () -> watch.table().count(standing));
    }
    watch.listen(this);
  }

  @Override
  public void learnt(CrashWatch.Lesson lesson) {
    lesson.changes().forEach(change -> tell(change, lesson.source()));
  }

  private void tell(CrashWatch.Change change, CrashWatch.Source source) {
    metrics.count("crash.standings", "", word(change.standing()));
    log.stateChange("crash_standing")
        .add("identity", change.request().toString())
        .add("standing", word(change.standing()))
        .add("ends", change.ends().size())
        .add("servers", String.join("/", change.ends()))
        .add("source", word(source))
        .write();
  }

  private static String word(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
