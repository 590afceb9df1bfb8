package org.magnoliaswitch.core.peer;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of the peer protocol on one instance.
 *
 * @param bytes bytes sent and received, including frames but not TCP/IP headers
 * @param messages messages sent and received
 * @param rejected connections closed because of an invalid frame or signature
 */
public record PeerTraffic(AtomicLong bytes, AtomicLong messages, AtomicLong rejected) {
  public PeerTraffic() {
    this(new AtomicLong(), new AtomicLong(), new AtomicLong());
  }
}
