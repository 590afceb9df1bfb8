package org.magnoliaswitch.front.load;

import static org.magnoliaswitch.front.load.QuotaSimulation.millis;

import java.util.List;
import java.util.function.Consumer;
import org.magnoliaswitch.front.load.QuotaSimulation.Node;

/**
 * What happens to instances 9 s after the start, for 9 s at most.
 *
 * @param name shown when a test fails
 */
record QuotaFault(String name, Consumer<QuotaSimulation> begin) {
  private static final long SECOND = millis(1_000);

  static final QuotaFault NONE = new QuotaFault("none", simulation -> {});
  static final QuotaFault ALL_KILLED = new QuotaFault("all killed", QuotaFault::killAll);
  static final QuotaFault OTHERS_KILLED =
      new QuotaFault("all but seeds killed", QuotaFault::killOthers);
  static final QuotaFault KILLED_IN_TURN = new QuotaFault("killed in turn", QuotaFault::killInTurn);
  static final QuotaFault CUT_OFF =
      new QuotaFault("cut off", simulation -> cut(simulation, true, true));
  static final QuotaFault SEEDS_FROZEN = new QuotaFault("seeds frozen", QuotaFault::freezeSeeds);
  static final QuotaFault LATE = new QuotaFault("messages late by 2 s", s -> delay(s, 2_000));
  static final QuotaFault SLIGHTLY_LATE =
      new QuotaFault("messages late by 0.7 s", s -> delay(s, 700));
  static final List<QuotaFault> ALL =
      List.of(
          NONE,
          ALL_KILLED,
          OTHERS_KILLED,
          CUT_OFF,
          KILLED_IN_TURN,
          new QuotaFault("frozen for 3 s", simulation -> freeze(simulation, 3)),
          new QuotaFault("frozen for 6 s", simulation -> freeze(simulation, 6)),
          SEEDS_FROZEN,
          new QuotaFault("cannot send", simulation -> cut(simulation, true, false)),
          new QuotaFault("cannot receive", simulation -> cut(simulation, false, true)),
          new QuotaFault("seed lost", simulation -> simulation.nodes.getFirst().kill()),
          new QuotaFault("seed cut off", QuotaFault::cutSeed),
          LATE,
          SLIGHTLY_LATE);

  @Override
  public String toString() {
    return name;
  }

  private static void restart(QuotaSimulation simulation, Node node, long pause) {
    node.kill();
    simulation.after(pause, node::start);
  }

  private static void killInTurn(QuotaSimulation simulation) {
    List<Node> nodes = simulation.nodes;
    for (Node node : nodes) {
      simulation.after(
          9 * SECOND * node.id / nodes.size(), () -> restart(simulation, node, SECOND / 2));
    }
  }

  private static void killAll(QuotaSimulation simulation) {
    simulation.nodes.forEach(node -> restart(simulation, node, simulation.random.nextLong(SECOND)));
  }

  private static void killOthers(QuotaSimulation simulation) {
    for (int round = 0; round < 3; round++) {
      simulation.after(
          2 * SECOND * round,
          () ->
              simulation.nodes.stream()
                  .filter(node -> !node.isSeed())
                  .forEach(node -> restart(simulation, node, millis(200))));
    }
  }

  private static void freeze(QuotaSimulation simulation, int seconds) {
    simulation.nodes.stream()
        .filter(node -> node.id % 3 == 1)
        .forEach(node -> node.freeze(seconds * SECOND));
  }

  private static void freezeSeeds(QuotaSimulation simulation) {
    simulation.nodes.stream().filter(Node::isSeed).forEach(node -> node.freeze(6 * SECOND));
  }

  /** Cuts every third instance, one of the seeds among them, off from the others. */
  private static void cut(QuotaSimulation simulation, boolean sending, boolean receiving) {
    simulation.cut(
        (from, to) ->
            from.id % 3 != to.id % 3
                && ((sending && from.id % 3 == 1) || (receiving && to.id % 3 == 1)),
        8 * SECOND);
  }

  private static void cutSeed(QuotaSimulation simulation) {
    Node seed = simulation.nodes.get(1);
    simulation.cut((from, to) -> (from == seed) != (to == seed), 8 * SECOND);
  }

  private static void delay(QuotaSimulation simulation, long millis) {
    simulation.lateness = millis(millis);
    simulation.after(8 * SECOND, () -> simulation.lateness = 0);
  }
}
