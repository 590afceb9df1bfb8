package org.magnoliaswitch.front.relay;

/** What a relay tells of a connection, beside the bytes that it passes on. */
enum RelaySignal {
  /** The relay wants the connection closed once it is idle. */
  CLOSE_ANNOUNCED,

  /**
   * The server has ended its output in the ordinary way, after the bytes before. A connection that
   * ends without this signal was cut off, by the server, the relay or the network.
   */
  END_OF_OUTPUT;

  /** The byte that stands for the signal. */
  byte code() {
    return switch (this) {
      case CLOSE_ANNOUNCED -> 0;
      case END_OF_OUTPUT -> 1;
    };
  }
}
