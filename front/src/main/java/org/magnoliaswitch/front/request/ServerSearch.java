package org.magnoliaswitch.front.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.Chance;
import org.magnoliaswitch.front.load.Placement;
import org.magnoliaswitch.front.load.Placement.Ranked;
import org.magnoliaswitch.front.load.PlacementContext;
import org.magnoliaswitch.front.load.Room;
import org.magnoliaswitch.front.load.Selection;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.ServicePolicy;

/** Finds the server for a request, asking the best candidates for their load when news are old. */
final class ServerSearch implements ServerFinder {
  /** Servers of unknown warmth that are asked beside one search. */
  private static final int UNKNOWN_ASKED = 2;

  private final Environment environment;
  private final Probes probes;

  ServerSearch(Environment environment, Probes probes) {
    this.environment = environment;
    this.probes = probes;
  }

  @Override
  public void search(Wanted wanted, Set<String> excluded, Consumer<Result> found) {
    new Search(wanted, excluded, found).look(0);
  }

  /** One search: it asks servers in rounds until the best one is known well enough. */
  private final class Search {
    private final Wanted wanted;
    private final Set<String> excluded;
    private final Consumer<Result> found;

    Search(Wanted wanted, Set<String> excluded, Consumer<Result> found) {
      this.wanted = wanted;
      this.excluded = excluded;
      this.found = found;
    }

    void look(int round) {
      Optional<ServicePolicy> policy = environment.routes().get().service(wanted.service());
      if (round == 0 && policy.isPresent()) {
        askUnknown(wanted, policy.get());
      }
      List<Ranked> ranked = rank(wanted, excluded);
      boolean askable = policy.isPresent();
      Selection.Step step = Selection.next(ranked, context(wanted), round, askable);
      if (step instanceof Selection.Step.Ask ask && policy.isPresent()) {
        ask(ask.servers(), policy.get(), round + 1);
      } else if (step instanceof Selection.Step.None && someRest(wanted, excluded)) {
        found.accept(new Result.Full());
      } else {
        found.accept(result(step));
      }
    }

    private void ask(List<ServerState> servers, ServicePolicy policy, int next) {
      List<ServerPool> pools = servers.stream().map(environment.servers()::poolOf).toList();
      probes.ask(pools, policy.healthPath(), () -> look(next));
    }
  }

  /**
   * Asks servers that only count as cold for what they are, beside the search. A data centre that
   * was taken back warm would else stand idle for the whole warm-up.
   */
  private void askUnknown(Wanted wanted, ServicePolicy policy) {
    long now = environment.clocks().nanos();
    List<ServerPool> unknown =
        environment.servers().of(wanted.service()).stream()
            .filter(pool -> mayGet(pool.state(), wanted) && pool.state().coldnessUnknown(now))
            .limit(UNKNOWN_ASKED)
            .toList();
    if (!unknown.isEmpty()) {
      probes.ask(unknown, policy.healthPath(), () -> {});
    }
  }

  private static Result result(Selection.Step step) {
    return switch (step) {
      case Selection.Step.Send send -> new Result.Chosen(send.server());
      case Selection.Step.Full full -> new Result.Full();
      case Selection.Step.None none -> new Result.None();
      case Selection.Step.Ask ask -> new Result.Full();
    };
  }

  @Override
  public void sought(String service, Chance chance, boolean found) {
    if (chance == Chance.IN_TIME) {
      environment.routeState().load(service).sought(found);
    }
  }

  @Override
  public boolean suits(ServerState server, Wanted wanted) {
    PlacementContext context = context(wanted);
    return mayGet(server, wanted)
        && environment.coldSends().allowed(server)
        && Placement.fits(server, context)
        && (Room.hasRoom(server, context) || Room.mayFill(server, context));
  }

  private List<Ranked> rank(Wanted wanted, Set<String> excluded) {
    List<ServerState> eligible = new ArrayList<>();
    for (ServerPool pool : environment.servers().of(wanted.service())) {
      ServerState server = pool.state();
      boolean known = excluded.contains(server.entry().id());
      if (!known && mayGet(server, wanted) && environment.coldSends().allowed(server)) {
        eligible.add(server);
      }
    }
    return Placement.rank(eligible, context(wanted), environment.random());
  }

  /** Whether some server will take a request of this instance within a second, for it is cold. */
  private boolean someRest(Wanted wanted, Set<String> excluded) {
    return environment.servers().of(wanted.service()).stream()
        .map(ServerPool::state)
        .anyMatch(
            server ->
                !excluded.contains(server.entry().id())
                    && mayGet(server, wanted)
                    && environment.coldSends().drawn(server));
  }

  private boolean mayGet(ServerState server, Wanted wanted) {
    String region = environment.settings().region(server.entry().dataCentre());
    return server.acceptsWork() && wanted.route().allows(region);
  }

  private PlacementContext context(Wanted wanted) {
    return new PlacementContext(
        environment.routeState().baseline(wanted.route()).nanos(),
        wanted.allowedNanos(),
        wanted.chance(),
        environment.routeState().load(wanted.service()),
        environment.settings().dataCentre(),
        environment.settings().mechanisms(),
        environment.clocks().nanos());
  }
}
