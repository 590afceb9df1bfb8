package org.magnoliaswitch.core.process;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;

/**
 * Name, data centre and addresses of an entry instance.
 *
 * @param instance name from the settings
 * @param dataCentre data centre in which it runs
 * @param host IP address of its listeners
 * @param callerPort port for callers
 * @param operatorPort port for operators
 * @param peerPort port for peers
 */
public record InstanceIdentity(
    String instance,
    String dataCentre,
    String host,
    int callerPort,
    int operatorPort,
    int peerPort) {
  private static final int INCARNATION_BYTES = 6;

  /**
   * Returns a member with a new incarnation: after a restart the instance counts as a different
   * one.
   */
  public Member newIncarnation() {
    byte[] random = new byte[INCARNATION_BYTES];
    new SecureRandom().nextBytes(random);
    return new Member(
        HexFormat.of().formatHex(random),
        instance,
        dataCentre,
        host,
        callerPort,
        operatorPort,
        peerPort,
        0,
        MemberState.SERVING);
  }
}
