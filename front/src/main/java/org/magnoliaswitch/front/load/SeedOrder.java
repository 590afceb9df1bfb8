package org.magnoliaswitch.front.load;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The order in which the seeds are responsible for a team's quota; the same at all instances, and
 * different between teams, so that the seeds share the work. Stateless and free of I/O.
 */
public final class SeedOrder {
  private SeedOrder() {}

  /** Returns the positions of the seeds in the given list, the first responsible one first. */
  public static List<Integer> of(String team, List<String> seeds) {
    return IntStream.range(0, seeds.size())
        .boxed()
        .sorted(
            Comparator.<Integer>comparingLong(i -> NameHash.of(seeds.get(i), team))
                .thenComparing(seeds::get))
        .toList();
  }
}
