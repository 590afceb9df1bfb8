package org.magnoliaswitch.bench.model;

/** Decides how instances handle requests. */
interface Policy {
  /** Handles an attempt of a caller that arrives at an instance. */
  void receive(ModelRequest request, int instance);

  /** Discards the state of all instances, which have restarted. */
  default void restartInstances() {}
}
