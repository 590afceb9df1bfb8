package org.magnoliaswitch.front.load;

/**
 * What a service's servers hold on average, learnt from every load sample; used by one thread.
 *
 * <p>It stands in for a server whose own sample is old: on a busy day such a server is busy too,
 * and taking it for idle would send it what it can only reject.
 */
public final class ServiceLoad {
  /** Weight of one sample: the last dozen count, which is about a second of one instance. */
  private static final double WEIGHT = 0.08;

  private double meanHeld;
  private boolean reporting = true;

  /** Takes a sample of any server of the service. */
  public void sampled(LoadSample sample) {
    reporting = true;
    meanHeld += WEIGHT * (sample.held() - meanHeld);
  }

  /** Notes a health check whose answer told no load: asking again would only take a slot. */
  public void toldNothing() {
    reporting = false;
  }

  /** Whether servers of the service tell their load, as far as known. */
  public boolean reporting() {
    return reporting;
  }

  /** Requests that a server of the service holds on average. */
  public double meanHeld() {
    return meanHeld;
  }
}
