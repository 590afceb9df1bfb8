package org.magnoliaswitch.core.crash;

/** Decision on how to handle a request. */
public enum Verdict {
  /** The request is not suspect. */
  ALLOWED,

  /** The request is suspect and may be sent to one server as a trial. */
  TRIAL,

  /**
   * A trial of the request is running; its outcome is known shortly and decides. The front lets the
   * request wait, the entry rejects it.
   */
  WAIT,

  /** The request is rejected. */
  REFUSED
}
