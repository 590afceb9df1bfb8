package org.magnoliaswitch.front.load;

import java.util.List;
import org.magnoliaswitch.front.version.WeightedService;

/**
 * Divides a route's requests among its services by their weights.
 *
 * <p>Successive positions follow the golden ratio, so any few dozen requests come close to the
 * weights; a random start keeps many instances that each see few requests from all beginning with
 * the same part, which would shift the sum over them.
 */
public final class WeightedServicePicker {
  private static final double GOLDEN_STEP = 0.6180339887498949;

  private double position;

  public WeightedServicePicker(double start) {
    this.position = start;
  }

  /** The service of the next request. */
  public String next(List<WeightedService> parts) {
    position = (position + GOLDEN_STEP) % 1.0;
    double total = parts.stream().mapToDouble(WeightedService::weight).sum();
    double rest = position * total;
    for (WeightedService part : parts) {
      rest -= part.weight();
      if (rest < 0) {
        return part.service();
      }
    }
    return parts.getLast().service();
  }
}
