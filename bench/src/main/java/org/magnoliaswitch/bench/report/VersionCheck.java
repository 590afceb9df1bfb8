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
 * The configuration versions that the time lines of instances record.
 *
 * @param inForceSeconds time from acceptance until the version was in force, for each version and
 *     instance
 * @param reverted number of times that an instance put a version in force that was not higher than
 *     its previous one
 * @param incarnations number of incarnations of instances; a restart counts as a new one
 */
public record VersionCheck(List<Double> inForceSeconds, long reverted, int incarnations) {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Checks the events of all instances, which may be unordered and contain duplicates. */
  public static VersionCheck of(List<TimelineEvent> events) {
    List<TimelineEvent> ordered = new ArrayList<>(new HashSet<>(events));
    ordered.sort((a, b) -> a.time().compareTo(b.time()));
    Map<Long, Long> acceptedMillis = new TreeMap<>();
    for (TimelineEvent event : ordered) {
      if (event.kind() == EventKind.VERSION_ACCEPTED) {
        acceptedMillis.putIfAbsent(version(event), event.time().millis());
      }
    }
    Map<String, Long> versionInForce = new HashMap<>();
    Set<String> incarnations = new HashSet<>();
    Map<String, Long> startedMillis = new HashMap<>();
    List<Double> seconds = new ArrayList<>();
    long reverted = 0;
    for (TimelineEvent event : ordered) {
      if (event.kind() == EventKind.STARTED) {
        incarnations.add(event.detail());
        startedMillis.put(event.instance(), event.time().millis());
        versionInForce.put(event.instance(), 0L);
      } else if (event.kind() == EventKind.VERSION_IN_FORCE) {
        long previous = versionInForce.getOrDefault(event.instance(), 0L);
        long current = version(event);
        reverted += current <= previous ? 1 : 0;
        versionInForce.put(event.instance(), current);
        addDelays(event, previous, current, acceptedMillis, startedMillis, seconds);
      }
    }
    return new VersionCheck(seconds, reverted, incarnations.size());
  }

  /**
   * Adds the delays of all versions that an event puts in force. A version that an instance skipped
   * is in force with the next higher one.
   */
  private static void addDelays(
      TimelineEvent event,
      long previous,
      long current,
      Map<Long, Long> acceptedMillis,
      Map<String, Long> startedMillis,
      List<Double> seconds) {
    for (long version = previous + 1; version <= current; version++) {
      Long accepted = acceptedMillis.get(version);
      Long started = startedMillis.get(event.instance());
      // Versions accepted before the instance started are excluded, since they could not be in
      // force there earlier.
      if (accepted != null && (started == null || accepted >= started)) {
        seconds.add((event.time().millis() - accepted) / MILLIS_PER_SECOND);
      }
    }
  }

  private static long version(TimelineEvent event) {
    return Long.parseLong(event.detail().replaceFirst(".*version=([0-9]+).*", "$1"));
  }

  /** Returns a quantile of the times until a version was in force. */
  public double quantile(double quantile) {
    List<Double> sorted = inForceSeconds.stream().sorted().toList();
    if (sorted.isEmpty()) {
      return Double.NaN;
    }
    return sorted.get((int) Math.min(sorted.size() - 1L, (long) (quantile * sorted.size())));
  }
}
