package org.magnoliaswitch.core.crash;

/** How far a request is believed to end the servers that run it. */
public enum SuspicionLevel {
  /** No more than a bystander meets. */
  UNSUSPECTED,

  /** Two servers or more ended under it. */
  SUSPECT,

  /** It ended a server also when it was let through as a suspect. */
  CONFIRMED
}
