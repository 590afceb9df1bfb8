package org.magnoliaswitch.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Renders events as a self-contained HTML page with one lane per process. */
final class TimelinePage {
  private static final int LANE_HEIGHT = 36;
  private static final int WIDTH = 1_200;
  private static final int LABEL_WIDTH = 160;
  private static final int HUE_COUNT = 360;

  private TimelinePage() {}

  static String of(List<TimelineEntry> events) {
    List<String> lanes =
        new ArrayList<>(new TreeSet<>(events.stream().map(TimelineEntry::instance).toList()));
    long first = events.isEmpty() ? 0 : events.getFirst().millis();
    long last = events.isEmpty() ? 1 : events.getLast().millis();
    double scale = (double) (WIDTH - LABEL_WIDTH - 20) / Math.max(1, last - first);
    StringBuilder page = new StringBuilder();
    page.append(
            "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>time line</title>")
        .append(
            "<style>body{font:13px sans-serif}td{padding:1px 8px;font-family:monospace}</style>")
        .append("</head><body><h1>Time line</h1><svg width=\"")
        .append(WIDTH)
        .append("\" height=\"")
        .append(lanes.size() * LANE_HEIGHT + 30)
        .append("\">");
    for (int i = 0; i < lanes.size(); i++) {
      int y = 20 + i * LANE_HEIGHT;
      page.append(String.format("<text x=\"4\" y=\"%d\">%s</text>", y + 4, escape(lanes.get(i))))
          .append(
              String.format(
                  "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#bbb\"/>",
                  LABEL_WIDTH, y, WIDTH, y));
    }
    for (TimelineEntry event : events) {
      double x = LABEL_WIDTH + (event.millis() - first) * scale;
      int y = 20 + lanes.indexOf(event.instance()) * LANE_HEIGHT;
      int hue = Math.floorMod(event.event().hashCode(), HUE_COUNT);
      page.append(
              String.format(
                  "<circle cx=\"%.1f\" cy=\"%d\" r=\"4\" fill=\"hsl(%d,70%%,45%%)\">", x, y, hue))
          .append("<title>")
          .append(escape(event.line()))
          .append("</title></circle>");
    }
    page.append("</svg><table>");
    for (TimelineEntry event : events) {
      page.append("<tr><td>").append(escape(event.line())).append("</td></tr>");
    }
    return page.append("</table></body></html>\n").toString();
  }

  private static String escape(String text) {
    return com.google.common.html.HtmlEscapers.htmlEscaper().escape(text);
  }
}
