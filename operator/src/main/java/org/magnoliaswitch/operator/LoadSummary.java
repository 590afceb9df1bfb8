package org.magnoliaswitch.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Summary of requests and slot time per service and second, computed from the log lines of all
 * instances.
 *
 * <p>Slot time is the time from the start of each attempt to the end of its request. Slot time
 * above the undisturbed time is lost to disturbed servers; unused slot time was spent on attempts
 * whose response reached no caller.
 */
final class LoadSummary {
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Maximum slowness that a server may report to count as undisturbed. */
  private static final double MAX_UNDISTURBED_SLOWNESS = 1.3;

  private static final String ANSWERED = "answered";
  private static final String CALLER_LEFT = "caller_left";

  private final Map<String, List<TimelineEntry>> attempts = new HashMap<>();
  private final Map<String, Map<Long, ServiceSecond>> services = new TreeMap<>();

  private LoadSummary() {}

  /** Summarizes events, which must be sorted by time. */
  static LoadSummary of(List<TimelineEntry> events) {
    LoadSummary summary = new LoadSummary();
    events.forEach(summary::add);
    return summary;
  }

  private void add(TimelineEntry event) {
    switch (event.event()) {
      case "send" -> attempts.computeIfAbsent(key(event), id -> new ArrayList<>()).add(event);
      case "end" -> countRequest(event);
      default -> {
        // The "end" event of a request contains everything else that is counted.
      }
    }
  }

  /** Returns a key with the instance, since callers may use the same id at several instances. */
  private static String key(TimelineEntry event) {
    return event.instance() + "/" + event.value("request");
  }

  private void countRequest(TimelineEntry end) {
    List<TimelineEntry> requestAttempts = attempts.remove(key(end));
    String service = end.value("service");
    if (service.isEmpty()) {
      return;
    }
    ServiceSecond second =
        services
            .computeIfAbsent(service, name -> new TreeMap<>())
            .computeIfAbsent(
                Math.floorDiv(end.micros(), MICROS_PER_SECOND), number -> new ServiceSecond());
    countOutcome(second, end);
    if (requestAttempts != null) {
      countAttempts(second, requestAttempts, end);
    }
  }

  private static void countOutcome(ServiceSecond second, TimelineEntry end) {
    String outcome = end.value("outcome");
    switch (outcome) {
      case ANSWERED -> second.addAnswered(!end.value("objective_left_ms").startsWith("-"));
      case CALLER_LEFT -> second.addCallerLeft();
      default -> second.addUnserved(outcome);
    }
  }

  private static void countAttempts(
      ServiceSecond second, List<TimelineEntry> attempts, TimelineEntry end) {
    boolean answered = end.value("outcome").equals(ANSWERED);
    for (int i = 0; i < attempts.size(); i++) {
      TimelineEntry attempt = attempts.get(i);
      // The log does not say which of several attempts succeeded; in most cases it is the last.
      boolean used = answered && i == attempts.size() - 1;
      second.addAttempt(
          (double) (end.micros() - attempt.micros()), used, i > 0, undisturbed(attempt));
    }
  }

  private static boolean undisturbed(TimelineEntry attempt) {
    try {
      return Double.parseDouble(attempt.value("slowness")) <= MAX_UNDISTURBED_SLOWNESS;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  /** Returns a line for each service and second, and a line with the totals of each service. */
  String text() {
    StringBuilder text = new StringBuilder();
    services.forEach(
        (service, seconds) -> {
          ServiceSecond total = new ServiceSecond();
          seconds.forEach(
              (number, second) -> {
                total.add(second);
                text.append(line(service, String.valueOf(number), second));
              });
          text.append(line(service, "all", total));
        });
    return text.toString();
  }

  private static String line(String service, String second, ServiceSecond counts) {
    return "service=" + service + " second=" + second + " " + counts.text() + "\n";
  }

  /**
   * Returns an HTML page with a bar for each service and second, divided into requests in time and
   * all others.
   */
  String html() {
    StringBuilder page =
        new StringBuilder("<!doctype html><meta charset=\"utf-8\"><title>Load</title>\n");
    services.forEach(
        (service, seconds) -> {
          page.append("<h2>").append(service).append("</h2><svg width=\"1200\" height=\"120\">\n");
          int maxRequests =
              seconds.values().stream().mapToInt(ServiceSecond::requests).max().orElse(1);
          int index = 0;
          for (Map.Entry<Long, ServiceSecond> second : seconds.entrySet()) {
            page.append(bar(index, second.getKey(), second.getValue(), maxRequests));
            index++;
          }
          page.append("</svg>\n");
        });
    return page.toString();
  }

  private static String bar(int index, long second, ServiceSecond counts, int maxRequests) {
    double height = 120.0 * counts.requests() / maxRequests;
    double inTimeHeight = 120.0 * counts.inTime() / maxRequests;
    return String.format(
        Locale.ROOT,
        "<g><title>%d %s</title><rect x=\"%d\" y=\"%.1f\" width=\"10\" height=\"%.1f\""
            + " fill=\"#c55\"/><rect x=\"%d\" y=\"%.1f\" width=\"10\" height=\"%.1f\""
            + " fill=\"#5a5\"/></g>%n",
        second,
        counts.text(),
        index * 12,
        120 - height,
        height,
        index * 12,
        120 - inTimeHeight,
        inTimeHeight);
  }
}
