package org.magnoliaswitch.standins;

/**
 * The faults that the platform stand-in currently simulates.
 *
 * @param down whether every call fails without any effect
 * @param slowMillis milliseconds added to every call
 * @param lostShare share of transactions that are applied but whose answer is lost
 * @param lateShare share of transactions that are applied only after the call has failed
 * @param lateMillis delay in milliseconds after which transactions of {@code lateShare} are applied
 * @param listLagMillis lag of the instance list in milliseconds
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
