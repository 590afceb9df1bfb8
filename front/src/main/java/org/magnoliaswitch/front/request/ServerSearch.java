package org.magnoliaswitch.front.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.AdmissionLimit;
import org.magnoliaswitch.front.load.Placement;
import org.magnoliaswitch.front.load.Placement.Ranked;
import org.magnoliaswitch.front.load.PlacementContext;
import org.magnoliaswitch.front.load.ServerSelection;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.Timeliness;
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
  public void search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
    new Search(query, excluded, found).look(0);
  }

  /** One search: it asks servers in rounds until the best one is known well enough. */
  private final class Search {
    private final ServerQuery query;
    private final Set<String> excluded;
    private final Consumer<Result> found;

    Search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
      this.query = query;
      this.excluded = excluded;
      this.found = found;
    }

    void look(int round) {
      Optional<ServicePolicy> policy = environment.routes().get().service(query.service());
      if (round == 0 && policy.isPresent()) {
        askUnknown(query, policy.get());
      }
      List<Ranked> ranked = rank(query, excluded);
      boolean askable = policy.isPresent();
      ServerSelection.Step step = ServerSelection.next(ranked, context(query), round, askable);
      if (step instanceof ServerSelection.Step.Probe ask && policy.isPresent()) {
        ask(ask.servers(), policy.get(), round + 1);
      } else if (step instanceof ServerSelection.Step.NoServer) {
        found.accept(heldBack(query, excluded));
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
  private void askUnknown(ServerQuery query, ServicePolicy policy) {
    long now = environment.clocks().nanos();
    List<ServerPool> unknown =
        environment.servers().of(query.service()).stream()
            .filter(pool -> mayGet(pool.state(), query) && pool.state().warmupUnconfirmed(now))
            .limit(UNKNOWN_ASKED)
            .toList();
    if (!unknown.isEmpty()) {
      probes.ask(unknown, policy.healthPath(), () -> {});
    }
  }

  private static Result result(ServerSelection.Step step) {
    return switch (step) {
      case ServerSelection.Step.Send send -> new Result.Chosen(send.server());
      case ServerSelection.Step.AllBusy full -> new Result.Full(0);
      case ServerSelection.Step.NoServer none -> new Result.None();
      case ServerSelection.Step.Probe ask -> new Result.Full(0);
    };
  }

  @Override
  public void sought(String service, Timeliness timeliness, boolean found) {
    if (timeliness == Timeliness.IN_TIME) {
      environment.routeState().load(service).recordSearch(found);
    }
  }

  @Override
  public boolean suits(ServerState server, ServerQuery query) {
    PlacementContext context = context(query);
    return mayGet(server, query)
        && environment.quotas().allowed(server)
        && Placement.expectedInTime(server, context)
        && (AdmissionLimit.hasCapacity(server, context)
            || AdmissionLimit.mayExceedKnee(server, context));
  }

  private List<Ranked> rank(ServerQuery query, Set<String> excluded) {
    List<ServerState> eligible = new ArrayList<>();
    for (ServerPool pool : environment.servers().of(query.service())) {
      ServerState server = pool.state();
      boolean known = excluded.contains(server.entry().id());
      if (!known && mayGet(server, query) && environment.quotas().allowed(server)) {
        eligible.add(server);
      }
    }
    return Placement.rank(eligible, context(query), environment.random());
  }

  /** No server may get a request now; when the first one may, as far as that can be foreseen. */
  private Result heldBack(ServerQuery query, Set<String> excluded) {
    long wait = ServerState.NEVER;
    for (ServerPool pool : environment.servers().of(query.service())) {
      ServerState server = pool.state();
      if (!excluded.contains(server.entry().id()) && mayGet(server, query)) {
        wait = Math.min(wait, environment.quotas().waitNanos(server));
      }
    }
    return wait == ServerState.NEVER ? new Result.None() : new Result.Full(wait);
  }

  private boolean mayGet(ServerState server, ServerQuery query) {
    String region = environment.settings().region(server.entry().dataCentre());
    return server.acceptsWork() && query.route().allows(region);
  }

  private PlacementContext context(ServerQuery query) {
    return new PlacementContext(
        environment.routeState().baseline(query.route()).nanos(),
        query.allowedNanos(),
        query.timeliness(),
        environment.routeState().load(query.service()),
        environment.settings().dataCentre(),
        environment.settings().mechanisms(),
        environment.clocks().nanos());
  }
}
