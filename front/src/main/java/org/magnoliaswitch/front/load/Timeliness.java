package org.magnoliaswitch.front.load;

/** Whether a request can still be answered within its objective. */
public enum Timeliness {
  /** It can. */
  IN_TIME,

  /**
   * It cannot, mostly because its caller was refused before and came back. A late answer keeps a
   * tenth of its value; it goes where it takes nothing from those that can be in time.
   */
  LATE
}
