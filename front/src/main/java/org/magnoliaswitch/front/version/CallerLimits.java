package org.magnoliaswitch.front.version;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes maximum size of a request's head
 * @param maxBodyBytes maximum size of a request's body
 * @param headerTimeoutNanos maximum time between the first byte of a head and its end
 * @param idleTimeoutNanos maximum time that a persistent connection may be idle
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
  /** Limits that apply until a configuration has been received: 16 KiB, 64 MiB, 3 s and 15 s. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 64L << 20, 3_000_000_000L, 15_000_000_000L);
}
