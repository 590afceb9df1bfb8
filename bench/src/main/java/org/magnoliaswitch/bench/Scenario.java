package org.magnoliaswitch.bench;

import java.util.List;

/**
 * The load that the load tool generates.
 *
 * @param phases arrival rates over time
 * @param kinds kinds of request and their shares
 * @param seed random seed for arrival times and request kinds
 */
public record Scenario(List<Phase> phases, List<LoadKind> kinds, long seed) {
  public Scenario {
    phases = List.copyOf(phases);
    kinds = List.copyOf(kinds);
  }

  /**
   * A period during which the rate changes linearly.
   *
   * @param seconds length of the phase
   * @param fromRate requests per second at the start
   * @param toRate requests per second at the end
   */
  public record Phase(double seconds, double fromRate, double toRate) {}

  /** The origin of idempotency keys. */
  public enum Keys {
    NONE,
    /** Keys that an instance issues, requested in advance. */
    ISSUED,
    /** Keys that the caller generates. */
    OWN
  }

  /**
   * A kind of request.
   *
   * @param name name in the report
   * @param method HTTP method
   * @param path path and query
   * @param share relative frequency among all requests
   * @param keys origin of the idempotency keys
   * @param deadlineMillis time after the intended start by which the caller needs the answer
   * @param size size of a complete answer in bytes, for the check of answers
   * @param weight harm weight of a request that is not answered in time
   * @param tries attempts of the caller, including the first
   */
  public record LoadKind(
      String name,
      String method,
      String path,
      double share,
      Keys keys,
      int deadlineMillis,
      int size,
      double weight,
      int tries) {}

  /** Returns this scenario with its rates and phase lengths multiplied by the given factors. */
  public Scenario scaled(double factor, double timeFactor) {
    return new Scenario(
        phases.stream()
            .map(
                p ->
                    new Phase(p.seconds() * timeFactor, p.fromRate() * factor, p.toRate() * factor))
            .toList(),
        kinds,
        seed);
  }
}
