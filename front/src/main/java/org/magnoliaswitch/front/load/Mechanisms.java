package org.magnoliaswitch.front.load;

import java.util.EnumSet;
import java.util.Set;

/**
 * The mechanisms in force.
 *
 * @param disabled mechanisms switched off for experiments; empty in production
 */
public record Mechanisms(Set<Mechanism> disabled) {
  /** All mechanisms in force. */
  public static final Mechanisms ALL = new Mechanisms(Set.of());

  public Mechanisms {
    disabled = Set.copyOf(disabled);
  }

  /** Whether a mechanism is in force. */
  public boolean enabled(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  /** Returns a copy with one more mechanism switched off. */
  public Mechanisms without(Mechanism mechanism) {
    EnumSet<Mechanism> more = EnumSet.of(mechanism);
    more.addAll(disabled);
    return new Mechanisms(more);
  }
}
