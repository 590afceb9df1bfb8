package org.magnoliaswitch.bench.model;

/**
 * How the backend servers of a deployment behave.
 *
 * @param slots requests that a server executes at once
 * @param queue requests that wait there before it rejects further ones
 * @param knee share of busy slots above which work takes longer
 * @param kneeFactor how much longer it takes then
 * @param noiseFactor how much longer work takes beside a busy neighbour
 * @param noiseMillis how long a neighbour stays busy or quiet
 * @param keptMillis how long a connection is kept idle; 0 where connections cost nothing
 */
record ServerTraits(
    int slots,
    int queue,
    double knee,
    double kneeFactor,
    double noiseFactor,
    double noiseMillis,
    double keptMillis) {
  /** Six slots, neighbours that slow a server down for longer than a request takes. */
  static final ServerTraits SIX_SLOTS = new ServerTraits(6, 12, 0.8, 1.7, 4, 300, 0);

  /** Three slots, neighbours that come and go while a request is at work. */
  static final ServerTraits THREE_SLOTS = new ServerTraits(3, 6, 0.8, 1.7, 5, 150, 0);

  /** Six slots, and connections that are closed a second before their server would do so. */
  static final ServerTraits SIX_SLOTS_CONNECTED = new ServerTraits(6, 12, 0.8, 1.7, 4, 300, 9_000);

  /** Two slots, otherwise the same: one more request is half of a server. */
  static final ServerTraits TWO_SLOTS_CONNECTED = new ServerTraits(2, 4, 0.8, 1.7, 4, 300, 9_000);
}
