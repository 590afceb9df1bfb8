package org.magnoliaswitch.front.load;

import java.util.List;
import org.magnoliaswitch.front.version.WeightedService;

/**
 * Distributes a route's requests among its services by weight.
 *
 * <p>Successive positions advance by the golden ratio, so that any few dozen requests approximate
 * the weights. A random start prevents many instances with few requests each from all starting with
 * the same service, which would skew the overall distribution.
 */
public final class WeightedServicePicker {
  private static final double GOLDEN_STEP = 0.6180339887498949;

  private double position;

  public WeightedServicePicker(double start) {
    this.position = start;
  }

  /** Returns the service of the next request. */
  public String next(List<WeightedService> services) {
    position = (position + GOLDEN_STEP) % 1.0;
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double remaining = position * total;
    for (WeightedService weighted : services) {
      remaining -= weighted.weight();
      if (remaining < 0) {
        return weighted.service();
      }
    }
    return services.getLast().service();
  }
}
