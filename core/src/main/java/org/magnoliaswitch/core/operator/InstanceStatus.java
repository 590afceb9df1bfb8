package org.magnoliaswitch.core.operator;

import java.util.List;
import org.magnoliaswitch.core.peer.Member;

/**
 * Status of one instance.
 *
 * @param self the instance
 * @param version configuration in force
 * @param manifest digest of its manifest
 * @param peers live peers it knows
 */
public record InstanceStatus(Member self, long version, String manifest, List<Member> peers) {}
