package org.magnoliaswitch.core.process;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;

/**
 * Who an entry instance is and where it listens.
 *
 * @param instance name from the settings
 * @param dataCentre where it runs
 * @param host IP number of its listeners
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

  /** A member with a fresh incarnation: a restart is another instance. */
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
