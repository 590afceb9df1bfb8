package org.magnoliaswitch.front.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
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

/** Finds the server for a request, probing the best candidates if their load samples are old. */
final class ServerSearch implements ServerFinder {
  /** Servers of unknown warm-up state that are probed beside one search. */
  private static final int MAX_UNKNOWN_PROBED = 2;

  private final Environment environment;
  private final LoadProber prober;

  ServerSearch(Environment environment, LoadProber prober) {
    this.environment = environment;
    this.prober = prober;
  }

  @Override
  public void search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
    new Search(query, excluded, found).runRound(0);
  }

  /** One search: it probes servers in rounds until the best server is known well enough. */
  private final class Search {
    private final ServerQuery query;
    private final Set<String> excluded;
    private final Consumer<Result> found;

    Search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
      this.query = query;
      this.excluded = excluded;
      this.found = found;
    }

    void runRound(int round) {
      Optional<ServicePolicy> policy = environment.routes().get().service(query.service());
      if (round == 0 && policy.isPresent()) {
        probeUnknown(query, policy.get());
      }
      List<Ranked> ranked = rank(query, excluded);
      Optional<Predicate<ServerState>> probes = policy.map(present -> this::mayProbe);
      ServerSelection.Step step = ServerSelection.next(ranked, context(query), round, probes);
      if (step instanceof ServerSelection.Step.Probe probe && policy.isPresent()) {
        probe(probe.servers(), policy.get(), round + 1);
      } else if (step instanceof ServerSelection.Step.NoServer) {
        found.accept(resultIfNoneAllowed(query, excluded));
      } else {
        found.accept(result(step));
      }
    }

    private boolean mayProbe(ServerState server) {
      return prober.mayProbe(environment.servers().poolOf(server));
    }

    private void probe(List<ServerState> servers, ServicePolicy policy, int nextRound) {
      List<ServerPool> pools = servers.stream().map(environment.servers()::poolOf).toList();
      prober.probe(pools, policy.healthPath(), () -> runRound(nextRound));
    }
  }

  /**
   * Probes servers that count as cold but have not stated their warm-up, beside the search.
   * Otherwise the servers of a data centre that is warm when its evacuation ends would stay idle
   * for the whole warm-up.
   */
  private void probeUnknown(ServerQuery query, ServicePolicy policy) {
    long now = environment.clocks().nanos();
    List<ServerPool> unknown =
        environment.servers().of(query.service()).stream()
            .filter(pool -> isEligible(pool.state(), query) && pool.state().warmupUnconfirmed(now))
            .limit(MAX_UNKNOWN_PROBED)
            .toList();
    if (!unknown.isEmpty()) {
      prober.probe(unknown, policy.healthPath(), () -> {});
    }
  }

  private static Result result(ServerSelection.Step step) {
    return switch (step) {
      case ServerSelection.Step.Send send -> new Result.Chosen(send.server());
      case ServerSelection.Step.AllBusy full -> new Result.Full(0);
      case ServerSelection.Step.NoServer none -> new Result.None();
      case ServerSelection.Step.Probe probe -> new Result.Full(0);
    };
  }

  @Override
  public void recordFirstSearch(String service, Timeliness timeliness, boolean found) {
    if (timeliness == Timeliness.IN_TIME) {
      environment.routeState().load(service).recordSearch(found);
    }
  }

  @Override
  public boolean isSuitable(ServerState server, ServerQuery query) {
    PlacementContext context = context(query);
    return isEligible(server, query)
        && environment.quotas().allowed(server)
        && Placement.expectedInTime(server, context)
        && (AdmissionLimit.hasCapacity(server, context)
            || AdmissionLimit.mayExceedKnee(server, context));
  }

  private List<Ranked> rank(ServerQuery query, Set<String> excluded) {
    List<ServerState> eligible = new ArrayList<>();
    for (ServerPool pool : environment.servers().of(query.service())) {
      ServerState server = pool.state();
      boolean wasExcluded = excluded.contains(server.entry().id());
      if (!wasExcluded && isEligible(server, query) && environment.quotas().allowed(server)) {
        eligible.add(server);
      }
    }
    return Placement.rank(eligible, context(query), environment.random());
  }

  /**
   * The result if no server may get a request now: the time until the first one may, as far as it
   * can be foreseen.
   */
  private Result resultIfNoneAllowed(ServerQuery query, Set<String> excluded) {
    long wait = ServerState.NEVER;
    for (ServerPool pool : environment.servers().of(query.service())) {
      ServerState server = pool.state();
      if (!excluded.contains(server.entry().id()) && isEligible(server, query)) {
        wait = Math.min(wait, environment.quotas().waitNanos(server));
      }
    }
    return wait == ServerState.NEVER ? new Result.None() : new Result.Full(wait);
  }

  private boolean isEligible(ServerState server, ServerQuery query) {
    String region = environment.settings().region(server.entry().dataCentre());
    return server.acceptsWork() && query.route().allows(region);
  }

  private PlacementContext context(ServerQuery query) {
    return new PlacementContext(
        environment.routeState().baseline(query.route()).nanos(),
        query.allowedNanos(),
        query.timeliness(),
        query.standing(),
        environment.routeState().load(query.service()),
        environment.settings().dataCentre(),
        environment.settings().mechanisms(),
        environment.clocks().nanos());
  }
}
