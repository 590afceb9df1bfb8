package org.magnoliaswitch.front.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.loop.Loop;

/**
 * Sends crash reports in batches. When a data centre is lost, the requests in flight there cause
 * hundreds of reports at once, and each sent alone would be a message from each seed to each
 * instance. The first report is sent at once, because a caller may repeat its request as fast as it
 * gets its answers. Runs on one event loop.
 */
final class CrashReportBatches {
  /** Time after a batch until the next one. */
  private static final long INTERVAL_MILLIS = 5;

  private final Loop loop;
  private final BiConsumer<List<CrashReport>, List<CrashReport>> sender;
  private final List<CrashReport> own = new ArrayList<>();
  private final List<CrashReport> all = new ArrayList<>();
  private boolean intervalRunning;

  /**
   * Creates an empty batch.
   *
   * @param sender receives the reports of this instance itself, and all new reports
   */
  CrashReportBatches(Loop loop, BiConsumer<List<CrashReport>, List<CrashReport>> sender) {
    this.loop = loop;
    this.sender = sender;
  }

  /** Adds the new reports of an update. */
  void add(CrashWatch.Update update) {
    if (update.source() == CrashWatch.Source.OWN) {
      own.addAll(update.newReports());
    }
    all.addAll(update.newReports());
    if (!intervalRunning) {
      send();
    }
  }

  private void send() {
    intervalRunning = !all.isEmpty();
    if (!intervalRunning) {
      return;
    }
    List<CrashReport> ownBatch = List.copyOf(own);
    List<CrashReport> batch = List.copyOf(all);
    own.clear();
    all.clear();
    loop.afterMillis(INTERVAL_MILLIS, this::send);
    sender.accept(ownBatch, batch);
  }
}
