package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * One entry instance, as gossip spreads it.
 *
 * @param incarnation fresh id per process start: a restart under the same address is another member
 * @param instance name from the settings
 * @param dataCentre where it runs
 * @param host IP number of its three listeners
 * @param callerPort port for callers
 * @param operatorPort port for operators
 * @param peerPort port for peers
 * @param heartbeat rises while it lives
 * @param state what it says of itself
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Member(
    String incarnation,
    String instance,
    String dataCentre,
    String host,
    int callerPort,
    int operatorPort,
    int peerPort,
    long heartbeat,
    MemberState state) {
  /** The same member with a later heartbeat. */
  public Member withHeartbeat(long next, MemberState now) {
    return new Member(
        incarnation, instance, dataCentre, host, callerPort, operatorPort, peerPort, next, now);
  }

  /** Address of its listener for peers. */
  public Address peerAddress() {
    return new Address(host, peerPort);
  }

  /** Address of its listener for callers. */
  public Address callerAddress() {
    return new Address(host, callerPort);
  }
}
