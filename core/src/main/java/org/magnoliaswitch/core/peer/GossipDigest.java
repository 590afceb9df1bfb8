package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.magnoliaswitch.core.clock.HybridTimestamp;

/**
 * Bounded summary that two instances exchange: fixed-size whatever the number of instances.
 *
 * @param millis hybrid clock of the sender
 * @param counter hybrid clock of the sender
 * @param version number of the configuration in force
 * @param manifest digest of its manifest
 * @param members the sender and a bounded sample of the members it knows
 * @param leaving backend servers recently noticed to leave
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record GossipDigest(
    long millis,
    int counter,
    long version,
    String manifest,
    List<Member> members,
    List<LeavingNotice> leaving) {
  /** The hybrid clock of the sender. */
  public HybridTimestamp time() {
    return new HybridTimestamp(millis, counter);
  }
}
