package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Addresses at which instances open connections to backend servers for each other.
 *
 * @param own address of this instance
 * @param seeds addresses of the seeds
 */
public record RelaySettings(InetSocketAddress own, List<InetSocketAddress> seeds) {
  public RelaySettings {
    seeds = List.copyOf(seeds);
  }
}
