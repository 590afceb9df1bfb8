package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.magnoliaswitch.core.clock.HybridTimestamp;

/**
 * Summary that two instances exchange; its size is bounded, independent of the number of instances.
 *
 * @param millis physical part of the sender's hybrid clock
 * @param counter logical part of the sender's hybrid clock
 * @param version number of the configuration in force
 * @param manifest digest of the manifest of that version
 * @param members the sender and a bounded sample of the members that it knows
 * @param leaving recent notices about leaving backend servers
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record GossipDigest(
    long millis,
    int counter,
    long version,
    String manifest,
    List<Member> members,
    List<LeavingNotice> leaving) {
  /** Time of the sender's hybrid clock. */
  public HybridTimestamp time() {
    return new HybridTimestamp(millis, counter);
  }
}
