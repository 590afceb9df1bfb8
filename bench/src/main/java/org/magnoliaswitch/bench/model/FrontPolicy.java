package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.List;

/** Applies the decisions of the front at instances that do not communicate with each other. */
final class FrontPolicy implements Policy {
  private final Simulation simulation;
  private final Callers callers;
  private final Rules rules;
  private final List<FrontNode> nodes = new ArrayList<>();

  FrontPolicy(Simulation simulation, Callers callers, Rules rules) {
    this.simulation = simulation;
    this.callers = callers;
    this.rules = rules;
    restartInstances();
  }

  @Override
  public void restartInstances() {
    nodes.clear();
    for (int i = 0; i < simulation.deployment().instances(); i++) {
      nodes.add(new FrontNode(simulation, rules, i));
    }
  }

  @Override
  public void receive(ModelRequest request, int instance) {
    new FrontExchange(nodes.get(instance), callers, request).start();
  }
}
