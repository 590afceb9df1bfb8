package org.magnoliaswitch.front.load;

/**
 * Moving averages of the load and slowness of a service's servers, updated with every load sample.
 * Not thread-safe.
 *
 * <p>They replace the sample of a server whose own sample is old: under high load such a server is
 * busy too, and treating it as idle would send it requests that it can only reject.
 */
public final class ServiceLoad {
  /**
   * Weight of one sample: the average covers the last dozen samples, about a second of one
   * instance.
   */
  private static final double OUTSTANDING_WEIGHT = 0.08;

  /** Weight of one request: the average covers the last ten, less than a second in a burst. */
  private static final double PRESSURE_WEIGHT = 0.1;

  /**
   * Share of timely requests without immediate capacity above which the service is under pressure.
   */
  private static final double PRESSURE_THRESHOLD = 0.3;

  /**
   * Weight of one sample: the average covers the last fifty, some seconds, for as long as the
   * interference of other processes stays similar.
   */
  private static final double SLOWNESS_WEIGHT = 0.02;

  /** Slowness assumed before the first samples: a quarter of the servers four times slower. */
  private static final double INITIAL_SLOWNESS = 1.75;

  private double meanOutstanding;
  private double meanSlowness = INITIAL_SLOWNESS;
  private boolean samplesIncludeAnswered = true;
  private double shareWithoutCapacity;
  private boolean reportsLoad = true;

  /** Records a load sample of any server of the service. */
  public void recordSample(LoadSample sample) {
    reportsLoad = true;
    meanOutstanding += OUTSTANDING_WEIGHT * (sample.outstanding() - meanOutstanding);
    meanSlowness += SLOWNESS_WEIGHT * (sample.slowness() - meanSlowness);
  }

  /**
   * Returns the load after an answer, from the sample that came with it.
   *
   * <p>Most servers still count the request that they answer. Without the correction, a server with
   * three slots appears full whenever a slot has just become free, the next waiting request does
   * not get the slot, and a service at three quarters of its capacity refuses requests. A sample
   * without running requests shows that the servers of this service do not count the answered
   * request.
   */
  public LoadSample afterAnswer(LoadSample reported, Mechanisms mechanisms) {
    if (!mechanisms.enabled(Mechanism.EXACT_REPORTS)) {
      return reported;
    }
    if (reported.running() == 0) {
      samplesIncludeAnswered = false;
    }
    return samplesIncludeAnswered ? reported.withoutOneRequest() : reported;
  }

  /**
   * Records a health check whose answer contained no load: probing again would only occupy a slot.
   */
  public void markNotReporting() {
    reportsLoad = false;
  }

  /** Records whether a timely request found capacity immediately. */
  public void recordSearch(boolean foundCapacity) {
    shareWithoutCapacity += PRESSURE_WEIGHT * ((foundCapacity ? 0 : 1) - shareWithoutCapacity);
  }

  /** Whether timely requests have to wait for capacity. */
  public boolean underPressure() {
    return shareWithoutCapacity > PRESSURE_THRESHOLD;
  }

  /** Whether servers of the service report their load, as far as known. */
  public boolean reportsLoad() {
    return reportsLoad;
  }

  /** Average factor by which work takes longer on the service's servers; 1 is undisturbed. */
  public double meanSlowness() {
    return meanSlowness;
  }

  /** Average number of outstanding requests per server of the service. */
  public double meanOutstanding() {
    return meanOutstanding;
  }
}
