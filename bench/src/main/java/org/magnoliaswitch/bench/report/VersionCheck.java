package org.magnoliaswitch.bench.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.TimelineEvent;

/**
 * What time lines tell of versions.
 *
 * @param inForceSeconds from acceptance to in force, per version and instance that put it in force
 * @param reverted times an instance put a lower version in force than before
 * @param incarnations instances seen, restarts counted
 */
public record VersionCheck(List<Double> inForceSeconds, long reverted, int incarnations) {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Checks the events of all instances, in any order and with repetitions. */
  public static VersionCheck of(List<TimelineEvent> events) {
    List<TimelineEvent> ordered = new ArrayList<>(new HashSet<>(events));
    ordered.sort((a, b) -> a.time().compareTo(b.time()));
    Map<Long, Long> acceptedMillis = new TreeMap<>();
    for (TimelineEvent event : ordered) {
      if (event.kind() == EventKind.VERSION_ACCEPTED) {
        acceptedMillis.putIfAbsent(version(event), event.time().millis());
      }
    }
    Map<String, Long> inForce = new HashMap<>();
    Set<String> started = new HashSet<>();
    Map<String, Long> startedMillis = new HashMap<>();
    List<Double> seconds = new ArrayList<>();
    long reverted = 0;
    for (TimelineEvent event : ordered) {
      if (event.kind() == EventKind.STARTED) {
        started.add(event.detail());
        startedMillis.put(event.instance(), event.time().millis());
        inForce.put(event.instance(), 0L);
      } else if (event.kind() == EventKind.VERSION_IN_FORCE) {
        long before = inForce.getOrDefault(event.instance(), 0L);
        long now = version(event);
        reverted += now <= before ? 1 : 0;
        inForce.put(event.instance(), now);
        delays(event, before, now, acceptedMillis, startedMillis, seconds);
      }
    }
    return new VersionCheck(seconds, reverted, started.size());
  }

  /** A version that an instance skipped is in force with the next one. */
  private static void delays(
      TimelineEvent event,
      long before,
      long now,
      Map<Long, Long> acceptedMillis,
      Map<String, Long> startedMillis,
      List<Double> seconds) {
    for (long version = before + 1; version <= now; version++) {
      Long accepted = acceptedMillis.get(version);
      Long started = startedMillis.get(event.instance());
      // What was accepted before this instance lived could not be in force there any earlier.
      if (accepted != null && (started == null || accepted >= started)) {
        seconds.add((event.time().millis() - accepted) / MILLIS_PER_SECOND);
      }
    }
  }

  private static long version(TimelineEvent event) {
    return Long.parseLong(event.detail().replaceFirst(".*version=([0-9]+).*", "$1"));
  }

  /** A quantile of the times to be in force. */
  public double quantile(double quantile) {
    List<Double> sorted = inForceSeconds.stream().sorted().toList();
    if (sorted.isEmpty()) {
      return Double.NaN;
    }
    return sorted.get((int) Math.min(sorted.size() - 1L, (long) (quantile * sorted.size())));
  }
}
