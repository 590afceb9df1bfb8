package org.magnoliaswitch.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Where requests and slot time went, per service and second, from the log lines of all instances.
 *
 * <p>Slot time runs from each send to the end of its request. The part above the undisturbed time
 * went to disturbed servers, the unused part to answers that no caller got.
 */
final class LoadSummary {
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** A server that reports no more than this counts as undisturbed. */
  private static final double UNDISTURBED = 1.3;

  private static final String ANSWERED = "answered";
  private static final String CALLER_LEFT = "caller_left";

  private final Map<String, List<TimelineEntry>> sends = new HashMap<>();
  private final Map<String, Map<Long, ServiceSecond>> services = new TreeMap<>();

  private LoadSummary() {}

  /** Summarizes events, which must be in the order of their times. */
  static LoadSummary of(List<TimelineEntry> events) {
    LoadSummary summary = new LoadSummary();
    events.forEach(summary::take);
    return summary;
  }

  private void take(TimelineEntry event) {
    switch (event.event()) {
      case "send" -> sends.computeIfAbsent(key(event), id -> new ArrayList<>()).add(event);
      case "end" -> ended(event);
      default -> {
        // Other events tell nothing that the end of the request does not.
      }
    }
  }

  /** Callers may use one id at several instances. */
  private static String key(TimelineEntry event) {
    return event.instance() + "/" + event.value("request");
  }

  private void ended(TimelineEntry end) {
    List<TimelineEntry> own = sends.remove(key(end));
    String service = end.value("service");
    if (service.isEmpty()) {
      return;
    }
    ServiceSecond second =
        services
            .computeIfAbsent(service, name -> new TreeMap<>())
            .computeIfAbsent(
                Math.floorDiv(end.micros(), MICROS_PER_SECOND), number -> new ServiceSecond());
    count(second, end);
    if (own != null) {
      count(second, own, end);
    }
  }

  private static void count(ServiceSecond second, TimelineEntry end) {
    String outcome = end.value("outcome");
    switch (outcome) {
      case ANSWERED -> second.answered(!end.value("objective_left_ms").startsWith("-"));
      case CALLER_LEFT -> second.callerLeft();
      default -> second.unserved(outcome);
    }
  }

  private static void count(ServiceSecond second, List<TimelineEntry> sends, TimelineEntry end) {
    boolean answered = end.value("outcome").equals(ANSWERED);
    for (int i = 0; i < sends.size(); i++) {
      TimelineEntry send = sends.get(i);
      // Of several sends the last one mostly brings the answer; the log does not say which did.
      boolean used = answered && i == sends.size() - 1;
      second.sent((double) (end.micros() - send.micros()), used, i > 0, undisturbed(send));
    }
  }

  private static boolean undisturbed(TimelineEntry send) {
    try {
      return Double.parseDouble(send.value("slowness")) <= UNDISTURBED;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  /** A line for each service and second, and one for each service as a whole. */
  String text() {
    StringBuilder text = new StringBuilder();
    services.forEach(
        (service, seconds) -> {
          ServiceSecond all = new ServiceSecond();
          seconds.forEach(
              (number, second) -> {
                all.add(second);
                text.append(line(service, String.valueOf(number), second));
              });
          text.append(line(service, "all", all));
        });
    return text.toString();
  }

  private static String line(String service, String second, ServiceSecond counts) {
    return "service=" + service + " second=" + second + " " + counts.text() + "\n";
  }

  /** A page with a bar for each service and second: in time, and the rest. */
  String html() {
    StringBuilder page =
        new StringBuilder("<!doctype html><meta charset=\"utf-8\"><title>Load</title>\n");
    services.forEach(
        (service, seconds) -> {
          page.append("<h2>").append(service).append("</h2><svg width=\"1200\" height=\"120\">\n");
          int most = seconds.values().stream().mapToInt(ServiceSecond::requests).max().orElse(1);
          int place = 0;
          for (Map.Entry<Long, ServiceSecond> second : seconds.entrySet()) {
            page.append(bar(place, second.getKey(), second.getValue(), most));
            place++;
          }
          page.append("</svg>\n");
        });
    return page.toString();
  }

  private static String bar(int place, long second, ServiceSecond counts, int most) {
    double all = 120.0 * counts.requests() / most;
    double good = 120.0 * counts.inTime() / most;
    return String.format(
        Locale.ROOT,
        "<g><title>%d %s</title><rect x=\"%d\" y=\"%.1f\" width=\"10\" height=\"%.1f\""
            + " fill=\"#c55\"/><rect x=\"%d\" y=\"%.1f\" width=\"10\" height=\"%.1f\""
            + " fill=\"#5a5\"/></g>%n",
        second,
        counts.text(),
        place * 12,
        120 - all,
        all,
        place * 12,
        120 - good,
        good);
  }
}
