package org.magnoliaswitch.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Plots a run: requests offered and answered in time per time slice, and the 99th percentile of
 * latency.
 */
final class LoadPlot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 500;

  private LoadPlot() {}

  static void write(LoadResult result, Path file) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("load by intended start")
            .xAxisTitle("s")
            .yAxisTitle("requests per slice, ms")
            .build();
    List<LoadResult.Slice> series = result.series();
    List<Double> x = series.stream().map(LoadResult.Slice::atSeconds).toList();
    if (!x.isEmpty()) {
      chart.addSeries("offered", x, series.stream().map(LoadResult.Slice::offered).toList());
      chart.addSeries(
          "answered in time", x, series.stream().map(LoadResult.Slice::inTime).toList());
      chart.addSeries("p99 ms", x, series.stream().map(LoadResult.Slice::p99Millis).toList());
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
