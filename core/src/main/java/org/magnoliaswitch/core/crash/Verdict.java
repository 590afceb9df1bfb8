package org.magnoliaswitch.core.crash;

/** Decision on how to handle a request. */
public enum Verdict {
  /** Nothing is held against the request. */
  ALLOWED,

  /** The request is suspect and may be sent to one server as a trial. */
  TRIAL,

  /** A trial of the request is running; its outcome is known shortly and decides. */
  WAIT,

  /** The request is rejected. */
  REFUSED
}
