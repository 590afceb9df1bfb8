package org.magnoliaswitch.standins;

/**
 * What is wrong with the platform stand-in now.
 *
 * @param down whether every call fails without effect
 * @param slowMillis time added to every call
 * @param lostShare share of writes that take effect while their answer is lost
 * @param lateShare share of writes that take effect only after their caller has given up
 * @param lateMillis how much later
 * @param listLagMillis how far the instance list lags behind
 */
public record PlatformFaults(
    boolean down,
    int slowMillis,
    double lostShare,
    double lateShare,
    int lateMillis,
    int listLagMillis) {
  /** A healthy platform. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 0, 0);
}
