package org.magnoliaswitch.bench.report;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Median and range of repeated measurements.
 *
 * @param median median
 * @param least smallest value
 * @param most largest value
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

  /** Returns the least-squares slope of y over x. */
  static double slope(double[] x, double[] y) {
    double meanX = Arrays.stream(x).average().orElse(0);
    double meanY = Arrays.stream(y).average().orElse(0);
    double numerator = 0;
    double denominator = 0;
    for (int i = 0; i < x.length; i++) {
      numerator += (x[i] - meanX) * (y[i] - meanY);
      denominator += (x[i] - meanX) * (x[i] - meanX);
    }
    return denominator == 0 ? 0 : numerator / denominator;
  }

  @Override
  public String toString() {
    return String.format("%.2f [%.2f..%.2f]", median, least, most);
  }
}
