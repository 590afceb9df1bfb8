package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes the plots of reports. */
public final class Plots {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 500;

  /** The points of one line of a plot. */
  record Line(List<Double> x, List<Double> y) {}

  private Plots() {}

  static void lines(Path file, String title, String x, String y, Map<String, Line> lines)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(x)
            .yAxisTitle(y)
            .build();
    lines.forEach(
        (name, line) -> {
          if (!line.x().isEmpty()) {
            chart.addSeries(name, line.x(), line.y());
          }
        });
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  /** Writes a bar chart with one group per category and one bar per series. */
  public static void bars(
      Path file, String title, String y, List<String> categories, Map<String, List<Double>> series)
      throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title).yAxisTitle(y).build();
    series.forEach((name, values) -> chart.addSeries(name, categories, values));
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
