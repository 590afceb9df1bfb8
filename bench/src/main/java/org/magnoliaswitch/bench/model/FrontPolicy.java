package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.List;

/** The front's decisions at instances that do not see each other. */
final class FrontPolicy implements Policy {
  private final World world;
  private final Callers callers;
  private final Rules rules;
  private final List<FrontNode> nodes = new ArrayList<>();

  FrontPolicy(World world, Callers callers, Rules rules) {
    this.world = world;
    this.callers = callers;
    this.rules = rules;
    forget();
  }

  @Override
  public void forget() {
    nodes.clear();
    for (int i = 0; i < world.deployment().instances(); i++) {
      nodes.add(new FrontNode(world, rules, i));
    }
  }

  @Override
  public void arrive(ModelRequest request, int instance) {
    new FrontExchange(nodes.get(instance), callers, request).start();
  }
}
