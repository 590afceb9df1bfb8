package org.magnoliaswitch.core.peer;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts of the peer protocol at one instance.
 *
 * @param bytes sent and received, framing included, TCP/IP headers not
 * @param messages sent and received
 * @param refused connections closed for a bad frame or signature
 */
public record PeerTraffic(AtomicLong bytes, AtomicLong messages, AtomicLong rejected) {
  public PeerTraffic() {
    this(new AtomicLong(), new AtomicLong(), new AtomicLong());
  }
}
