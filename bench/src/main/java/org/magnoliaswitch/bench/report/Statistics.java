package org.magnoliaswitch.bench.report;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Median and spread of repeated measurements.
 *
 * @param median middle value
 * @param least smallest
 * @param most largest
 */
record Statistics(double median, double least, double most) {
  static Statistics of(double... values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    if (sorted.length == 0) {
      return new Statistics(Double.NaN, Double.NaN, Double.NaN);
    }
    int middle = sorted.length / 2;
    double median =
        sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    return new Statistics(median, sorted[0], sorted[sorted.length - 1]);
  }

  static <T> Statistics of(List<T> values, ToDoubleFunction<T> measure) {
    return of(values.stream().mapToDouble(measure).toArray());
  }

  /** Least-squares slope of y over x. */
  static double slope(double[] x, double[] y) {
    double meanX = Arrays.stream(x).average().orElse(0);
    double meanY = Arrays.stream(y).average().orElse(0);
    double above = 0;
    double below = 0;
    for (int i = 0; i < x.length; i++) {
      above += (x[i] - meanX) * (y[i] - meanY);
      below += (x[i] - meanX) * (x[i] - meanX);
    }
    return below == 0 ? 0 : above / below;
  }

  @Override
  public String toString() {
    return String.format("%.2f [%.2f..%.2f]", median, least, most);
  }
}
