package org.magnoliaswitch.bench.model;

/**
 * The behaviour of the backend servers of a deployment.
 *
 * @param slots requests that a server executes concurrently
 * @param queue requests that a server queues before it rejects further requests
 * @param knee share of busy slots above which execution takes longer
 * @param kneeFactor factor on the execution time above the knee
 * @param noiseFactor factor on the execution time beside a busy neighbour
 * @param noiseMillis time for which a neighbour stays busy or idle
 * @param keepAliveMillis idle time after which an instance closes a connection; 0 if connections
 *     are not modelled
 * @param resets whether a full server resets the connection instead of rejecting the request, so
 *     that it is unknown whether the request was executed
 */
record ServerTraits(
    int slots,
    int queue,
    double knee,
    double kneeFactor,
    double noiseFactor,
    double noiseMillis,
    double keepAliveMillis,
    boolean resets) {
  /** Six slots, and neighbours that slow down a server for longer than a request takes. */
  static final ServerTraits SIX_SLOTS = new ServerTraits(6, 12, 0.8, 1.7, 4, 300, 0, false);

  /** Three slots, and neighbours that become busy and idle while a request is executed. */
  static final ServerTraits THREE_SLOTS = new ServerTraits(3, 6, 0.8, 1.7, 5, 150, 0, false);

  /**
   * Six slots, and idle connections that an instance closes a second before the server would do so.
   */
  static final ServerTraits SIX_SLOTS_CONNECTED =
      new ServerTraits(6, 12, 0.8, 1.7, 4, 300, 9_000, false);

  /**
   * Two slots, so that one request takes half of the capacity of a server; otherwise as {@link
   * #SIX_SLOTS_CONNECTED}.
   */
  static final ServerTraits TWO_SLOTS_CONNECTED =
      new ServerTraits(2, 4, 0.8, 1.7, 4, 300, 9_000, false);

  /** As {@link #TWO_SLOTS_CONNECTED}, but a full server resets connections. */
  static final ServerTraits TWO_SLOTS_RESETTING =
      new ServerTraits(2, 4, 0.8, 1.7, 4, 300, 9_000, true);
}
