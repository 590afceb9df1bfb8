package org.magnoliaswitch.core.operator;

import java.util.List;
import org.magnoliaswitch.core.peer.Member;

/**
 * The status of an instance.
 *
 * @param self identity and state of the instance
 * @param version version of the configuration in force
 * @param manifest digest of the manifest of that version
 * @param peers live peers that the instance knows
 */
public record InstanceStatus(Member self, long version, String manifest, List<Member> peers) {}
