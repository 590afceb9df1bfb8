package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * One entry instance, as gossip distributes it.
 *
 * @param incarnation id that is new for each start of the process: after a restart with the same
 *     address the instance is a different member
 * @param instance name of the instance from its settings
 * @param dataCentre data centre in which it runs
 * @param host IP number of its three listeners
 * @param callerPort port for callers
 * @param operatorPort port for operators
 * @param peerPort port for peers
 * @param heartbeat number that increases while the instance is alive
 * @param state state that the instance reports
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
  /** Returns this member with a later heartbeat and the given state. */
  public Member withHeartbeat(long nextHeartbeat, MemberState newState) {
    return new Member(
        incarnation,
        instance,
        dataCentre,
        host,
        callerPort,
        operatorPort,
        peerPort,
        nextHeartbeat,
        newState);
  }

  /** Address of the listener for peers. */
  public Address peerAddress() {
    return new Address(host, peerPort);
  }

  /** Address of the listener for callers. */
  public Address callerAddress() {
    return new Address(host, callerPort);
  }
}
