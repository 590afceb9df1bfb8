package org.magnoliaswitch.front.load;

import java.util.EnumSet;
import java.util.Set;

/**
 * Which mechanisms are in force.
 *
 * @param disabled those switched off, for experiments; none in service
 */
public record Mechanisms(Set<Mechanism> disabled) {
  /** All of them. */
  public static final Mechanisms ALL = new Mechanisms(Set.of());

  public Mechanisms {
    disabled = Set.copyOf(disabled);
  }

  /** Whether a mechanism is in force. */
  public boolean enabled(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  /** The same with one more switched off. */
  public Mechanisms without(Mechanism mechanism) {
    EnumSet<Mechanism> more = EnumSet.of(mechanism);
    more.addAll(disabled);
    return new Mechanisms(more);
  }
}
