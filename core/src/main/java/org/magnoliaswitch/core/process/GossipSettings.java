package org.magnoliaswitch.core.process;

/**
 * Rates of the gossip, such that the traffic per instance does not grow with the number of
 * instances.
 *
 * @param intervalMillis time between two exchanges begun by this instance
 * @param sampleSize number of members per message in addition to the sender
 * @param pushFanout number of peers to which an update is pushed at once
 * @param storePollMillis time between reads of the head row by all instances together
 */
public record GossipSettings(
    int intervalMillis, int sampleSize, int pushFanout, int storePollMillis) {
  /** Default rates. */
  public static final GossipSettings DEFAULT = new GossipSettings(1_000, 4, 3, 1_000);
}
