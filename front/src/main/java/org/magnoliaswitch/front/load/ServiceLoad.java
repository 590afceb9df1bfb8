package org.magnoliaswitch.front.load;

/**
 * What a service's servers hold and how slow they are on average, learnt from every load sample;
 * used by one thread.
 *
 * <p>It stands in for a server whose own sample is old: on a busy day such a server is busy too,
 * and taking it for idle would send it what it can only reject.
 */
public final class ServiceLoad {
  /** Weight of one sample: the last dozen count, which is about a second of one instance. */
  private static final double WEIGHT = 0.08;

  /** Weight of one request: the last ten count, which is under a second in a burst. */
  private static final double PRESSURE_WEIGHT = 0.1;

  /** Share of requests in time that found no room at once, from which the service is pressed. */
  private static final double PRESSED_SHARE = 0.3;

  /** Weight of one sample: the last fifty count, some seconds, as long as neighbours stay alike. */
  private static final double SLOWNESS_WEIGHT = 0.02;

  /** Slowness assumed before the first samples: a quarter of the servers four times slower. */
  private static final double INITIAL_SLOWNESS = 1.75;

  private double meanOutstanding;
  private double meanSlowness = INITIAL_SLOWNESS;
  private boolean answersCountThemselves = true;
  private double waitedShare;
  private boolean reporting = true;

  /** Takes a sample of any server of the service. */
  public void recordSample(LoadSample sample) {
    reporting = true;
    meanOutstanding += WEIGHT * (sample.outstanding() - meanOutstanding);
    meanSlowness += SLOWNESS_WEIGHT * (sample.slowness() - meanSlowness);
  }

  /**
   * The load after an answer, from the sample that came with it.
   *
   * <p>Most servers still count the request that they answer. Taken as it is, a server with three
   * slots looked full whenever it had just become free, the next in line was not offered the slot,
   * and a service at three quarters of its load refused requests in each second. A sample that
   * counts nothing shows that this service's servers do not.
   */
  public LoadSample afterAnswer(LoadSample told, Mechanisms mechanisms) {
    if (!mechanisms.enabled(Mechanism.EXACT_REPORTS)) {
      return told;
    }
    if (told.running() == 0) {
      answersCountThemselves = false;
    }
    return answersCountThemselves ? told.withoutOneRequest() : told;
  }

  /** Notes a health check whose answer told no load: asking again would only take a slot. */
  public void markNotReporting() {
    reporting = false;
  }

  /** Notes whether a request that could be in time found room at once. */
  public void recordSearch(boolean foundCapacity) {
    waitedShare += PRESSURE_WEIGHT * ((foundCapacity ? 0 : 1) - waitedShare);
  }

  /** Whether requests that could be in time have to wait for room. */
  public boolean underPressure() {
    return waitedShare > PRESSED_SHARE;
  }

  /** Whether servers of the service tell their load, as far as known. */
  public boolean reporting() {
    return reporting;
  }

  /** How much longer work takes on the service's servers on average; 1 is undisturbed. */
  public double meanSlowness() {
    return meanSlowness;
  }

  /** Requests that a server of the service holds on average. */
  public double meanOutstanding() {
    return meanOutstanding;
  }
}
