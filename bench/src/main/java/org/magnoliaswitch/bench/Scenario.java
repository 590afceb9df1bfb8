package org.magnoliaswitch.bench;

import java.util.List;

/**
 * A load to generate.
 *
 * @param phases arrival rates over time
 * @param kinds kinds of request and their shares
 * @param seed seed of arrivals and mix
 */
public record Scenario(List<Phase> phases, List<LoadKind> kinds, long seed) {
  public Scenario {
    phases = List.copyOf(phases);
    kinds = List.copyOf(kinds);
  }

  /**
   * A span of time with a rate that changes evenly.
   *
   * @param seconds length
   * @param fromRate requests a second at its start
   * @param toRate requests a second at its end
   */
  public record Phase(double seconds, double fromRate, double toRate) {}

  /** How requests are given idempotency keys. */
  public enum Keys {
    NONE,
    /** Keys that an instance issued, asked for beforehand. */
    ISSUED,
    /** Keys that the caller makes. */
    OWN
  }

  /**
   * A kind of request.
   *
   * @param name for the report
   * @param method HTTP method
   * @param path path and query
   * @param share share of all requests
   * @param keys how it gets keys
   * @param deadlineMillis when the caller needs the answer
   * @param size bytes of the answer, for the check that it is whole
   * @param weight harm weight, for the weighted service
   * @param tries attempts of the caller itself, first included
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

  /** The same scenario with its rates scaled. */
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
