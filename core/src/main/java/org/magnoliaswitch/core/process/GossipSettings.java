package org.magnoliaswitch.core.process;

/**
 * Rates of gossip, chosen so that traffic per instance does not grow with their number.
 *
 * @param intervalMillis time between two exchanges that this instance begins
 * @param sampleSize members told per message
 * @param eagerPeers peers told at once of news
 * @param storePollMillis time between reads of the head row by all instances together
 */
public record GossipSettings(
    int intervalMillis, int sampleSize, int pushFanout, int storePollMillis) {
  /** What the scale measurements chose. */
  public static final GossipSettings DEFAULT = new GossipSettings(1_000, 4, 3, 1_000);
}
