package org.magnoliaswitch.core.crash;

/** The level of suspicion that a request crashes the servers that execute it. */
public enum SuspicionLevel {
  /** Fewer than two crashes, as a bystander may be involved in. */
  UNSUSPECTED,

  /** At least two servers crashed while serving the request. */
  SUSPECT,

  /** At least three servers crashed, at least one of them in a trial of the suspect request. */
  CONFIRMED
}
