package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliaswitch.front.load.Chance;
import org.magnoliaswitch.front.load.Placement;
import org.magnoliaswitch.front.load.ProbeShare;
import org.magnoliaswitch.front.load.RateLimit;
import org.magnoliaswitch.front.load.RepeatBudget;
import org.magnoliaswitch.front.load.Room;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.ServiceLoad;
import org.magnoliaswitch.front.load.WaitingLine;
import org.magnoliaswitch.front.process.RouteState;

/** What one instance knows, with the front's own classes. */
final class FrontNode {
  private static final double BUDGET_RATIO = 0.2;
  private static final double BUDGET_SLACK = 62;
  private static final long BUDGET_WINDOW_NANOS = VirtualTime.nanosOf(10_000);
  private static final double PROBE_BURST = 4;

  private final World world;
  private final Rules rules;
  private final int index;
  private final RouteState routes;
  private final Map<String, List<ServerState>> states = new HashMap<>();
  private final Map<ServerState, ModelServer> models = new HashMap<>();
  private final Map<ServerState, RateLimit> probes = new HashMap<>();
  private final WaitingLine<FrontExchange> line = new WaitingLine<>();

  FrontNode(World world, Rules rules, int index) {
    this.world = world;
    this.rules = rules;
    this.index = index;
    this.routes =
        new RouteState(
            world.random(),
            new RepeatBudget.Limits(BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_NANOS));
    for (List<ModelServer> service : world.services()) {
      List<ServerState> all = new ArrayList<>();
      service.forEach(model -> all.add(add(model)));
      states.put(service.getFirst().entry().service(), rules.subset().of(all, index));
    }
  }

  private ServerState add(ModelServer model) {
    ServerState state = new ServerState(model.entry(), world.time().nanos());
    state.idleConnections(1);
    models.put(state, model);
    probes.put(state, new RateLimit(PROBE_BURST, world.time().nanos()));
    return state;
  }

  World world() {
    return world;
  }

  Rules rules() {
    return rules;
  }

  RouteState routes() {
    return routes;
  }

  WaitingLine<FrontExchange> line() {
    return line;
  }

  ModelServer model(ServerState state) {
    return models.get(state);
  }

  double networkMillis(ServerState state) {
    return World.networkMillis(index, model(state));
  }

  List<Placement.Ranked> rank(Kind kind, Chance chance, Set<ServerState> excluded) {
    List<ServerState> eligible =
        states.get(kind.service()).stream().filter(state -> !excluded.contains(state)).toList();
    Placement.Context context =
        new Placement.Context(
            routes.baseline(kind.route()).nanos(),
            chance == Chance.LATE ? kind.route().timeoutNanos() : kind.route().objectiveNanos(),
            routes.load(kind.service()).meanHeld(),
            World.dataCentre(index),
            world.time().nanos());
    return Placement.rank(eligible, context, world.random());
  }

  boolean mayProbe(ServerState state) {
    String service = state.entry().service();
    double part = states.get(service).size() / (double) world.servers(service).size();
    double perSecond =
        ProbeShare.perSecond(
            world.deployment().probesPerServer(), world.deployment().instances(), part);
    return probes.get(state).take(perSecond, world.time().nanos());
  }

  boolean hasRoom(ServerState state, String service, Chance chance) {
    ServiceLoad load = routes.load(service);
    return !rules.bounded() || Room.hasRoom(state, load, chance, world.time().nanos());
  }

  void sampled(ServerState state) {
    state.sampled(model(state).sample(), state.inFlight(), world.time().nanos());
    routes.load(state.entry().service()).sampled(state.sample());
  }

  boolean mayRepeat(String service) {
    return routes.budget(service).spend(world.deployment().instances(), world.time().nanos());
  }
}
