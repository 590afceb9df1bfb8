package org.magnoliaswitch.bench.model;

import java.util.List;
import java.util.stream.LongStream;

/** Plays one pattern under one policy, several times with fixed seeds. */
final class Replay {
  /** Few seeds tell little of the two worst seconds of a play; of these the mean is steady. */
  static final int SEEDS = 6;

  private static final long FIRST_SEED = 20_611;

  private Replay() {}

  /** Mean over the given number of seeds. */
  static Scoreboard.Result run(Pattern pattern, Way way, int seeds) {
    return Scoreboard.Result.mean(each(pattern, way, seeds));
  }

  /** The results of the seeds, in their order. */
  static List<Scoreboard.Result> each(Pattern pattern, Way way, int seeds) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + seeds)
        .parallel()
        .mapToObj(seed -> play(pattern, way, seed))
        .toList();
  }

  private static Scoreboard.Result play(Pattern pattern, Way way, long seed) {
    World world = new World(pattern, seed);
    Callers callers = new Callers(world, pattern);
    Policy policy = policy(way, world, callers);
    callers.start(policy);
    world.time().afterMillis(Pattern.TROUBLE_MILLIS, () -> lose(world, pattern.trouble()));
    if (pattern.trouble().outage()) {
      world.time().afterMillis(Pattern.TROUBLE_MILLIS, policy::forget);
    }
    // Those who came last are waited for: cut off, they made the last second the worst of all.
    world.time().runUntilMillis(Pattern.LENGTH_MILLIS + pattern.deployment().longestWaitMillis());
    return world.scoreboard().result();
  }

  private static void lose(World world, Trouble trouble) {
    for (List<ModelServer> servers : world.services()) {
      int count = (int) Math.round(trouble.lostServers() * servers.size());
      servers.subList(0, count).forEach(ModelServer::lose);
      if (trouble.dataCentreEnds()) {
        String ending = World.dataCentre(0);
        servers.stream()
            .filter(server -> server.entry().dataCentre().equals(ending))
            .forEach(ModelServer::end);
      }
    }
  }

  private static Policy policy(Way way, World world, Callers callers) {
    return switch (way) {
      case Way.Simple simple -> new SimplePolicy(world, callers, simple.rule());
      case Way.Front front -> new FrontPolicy(world, callers, front.rules());
      case Way.Ideal ideal -> new IdealPolicy(world, callers);
    };
  }
}
