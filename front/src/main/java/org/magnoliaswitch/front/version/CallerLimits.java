package org.magnoliaswitch.front.version;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes size of a request's head
 * @param maxBodyBytes size of a request's body
 * @param headerTimeoutNanos longest time between the first byte of a head and its end
 * @param idleTimeoutNanos longest time that a kept connection stays without a request
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
  /** In force until a configuration brings its own. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 64L << 20, 3_000_000_000L, 15_000_000_000L);
}
