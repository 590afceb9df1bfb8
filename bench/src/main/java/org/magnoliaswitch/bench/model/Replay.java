package org.magnoliaswitch.bench.model;

import java.util.List;
import java.util.stream.LongStream;

/** Replays one load pattern under one policy with a fixed series of seeds. */
final class Replay {
  /**
   * The two worst seconds vary widely between seeds; the mean over this number of seeds is stable.
   */
  static final int DEFAULT_SEEDS = 6;

  private static final long FIRST_SEED = 20_611;

  private Replay() {}

  /** Returns the mean result over the given number of seeds. */
  static ReplayMetrics.Result run(LoadPattern pattern, PolicyVariant variant, int seeds) {
    return ReplayMetrics.Result.mean(runSeeds(pattern, variant, seeds));
  }

  /** Returns the result of each seed, in the order of the seeds. */
  static List<ReplayMetrics.Result> runSeeds(
      LoadPattern pattern, PolicyVariant variant, int seeds) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + seeds)
        .parallel()
        .mapToObj(seed -> runSeed(pattern, variant, seed))
        .toList();
  }

  private static ReplayMetrics.Result runSeed(
      LoadPattern pattern, PolicyVariant variant, long seed) {
    Simulation simulation = new Simulation(pattern, seed);
    Callers callers = new Callers(simulation, pattern);
    Policy policy = policy(variant, simulation, callers);
    callers.start(policy);
    simulation
        .time()
        .afterMillis(LoadPattern.FAULT_MILLIS, () -> inject(simulation, pattern.fault()));
    if (pattern.fault().outage()) {
      simulation.time().afterMillis(LoadPattern.FAULT_MILLIS, policy::restartInstances);
    }
    // Runs until the last callers have timed out; otherwise their unanswered requests would make
    // the last second the worst.
    simulation
        .time()
        .runUntilMillis(LoadPattern.LENGTH_MILLIS + pattern.deployment().maxTimeoutMillis());
    return simulation.metrics().result();
  }

  private static void inject(Simulation simulation, Fault fault) {
    for (List<ModelServer> servers : simulation.services()) {
      int count = (int) Math.round(fault.lostServers() * servers.size());
      servers.subList(0, count).forEach(ModelServer::stopResponding);
      if (fault.dataCentreCrashes()) {
        String crashing = simulation.dataCentre(0);
        servers.stream()
            .filter(server -> server.entry().dataCentre().equals(crashing))
            .forEach(ModelServer::crash);
      }
    }
  }

  private static Policy policy(PolicyVariant variant, Simulation simulation, Callers callers) {
    return switch (variant) {
      case PolicyVariant.Simple simple -> new SimplePolicy(simulation, callers, simple.rule());
      case PolicyVariant.Front front -> new FrontPolicy(simulation, callers, front.rules());
      case PolicyVariant.Ideal ideal -> new IdealPolicy(simulation, callers);
    };
  }
}
