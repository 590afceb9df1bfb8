package org.magnoliaswitch.core.crash;

/** The level of suspicion that a request crashes the servers that execute it. */
public enum SuspicionLevel {
  /** No more crashes than a bystander may be involved in. */
  UNSUSPECTED,

  /** Two or more servers crashed while serving the request. */
  SUSPECT,

  /** A server also crashed when the request was let through as a suspect. */
  CONFIRMED
}
