package org.magnoliaswitch.front.load;

/** Whether a request can still be answered within its latency objective. */
public enum Timeliness {
  /** The request can be answered within its objective. */
  IN_TIME,

  /**
   * The request can no longer be answered within its objective: the objective has passed, or less
   * than the usual latency is left, usually because its caller was refused before and retried. A
   * late answer keeps a tenth of its value; the request must not take capacity from timely ones.
   */
  LATE
}
