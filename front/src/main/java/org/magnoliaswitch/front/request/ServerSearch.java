package org.magnoliaswitch.front.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.Chance;
import org.magnoliaswitch.front.load.Placement;
import org.magnoliaswitch.front.load.Placement.Ranked;
import org.magnoliaswitch.front.load.Room;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.ServiceLoad;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.ServicePolicy;

/** Finds the server for a request, asking the best candidates for their load when news are old. */
final class ServerSearch implements ServerFinder {
  /** Candidates asked for their load: of three, one is undisturbed nearly always. */
  private static final int PROBED = 3;

  /** A load sample this young needs no confirmation. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** A sample that shows no more than this counts as undisturbed. */
  private static final double UNDISTURBED = 1.3;

  private final Environment environment;
  private final Probes probes;

  ServerSearch(Environment environment, Probes probes) {
    this.environment = environment;
    this.probes = probes;
  }

  @Override
  public void search(
      Route route, String service, Chance chance, Set<String> excluded, Consumer<Result> found) {
    List<Ranked> ranked = rank(route, service, chance, excluded);
    Optional<ServerState> best = firstWithRoom(ranked, service, chance);
    Optional<ServicePolicy> policy = environment.routes().get().service(service);
    boolean reporting = environment.routeState().load(service).reporting();
    boolean worthAsking = !ranked.isEmpty() && reporting && policy.isPresent();
    if (!worthAsking || best.filter(this::confirmed).isPresent()) {
      found.accept(result(ranked, best));
      return;
    }
    List<ServerPool> candidates =
        ranked.stream()
            .limit(PROBED)
            .map(candidate -> environment.servers().poolOf(candidate.server()))
            .toList();
    probes.ask(
        candidates,
        policy.get().healthPath(),
        () -> {
          List<Ranked> again = rank(route, service, chance, excluded);
          found.accept(result(again, firstWithRoom(again, service, chance)));
        });
  }

  private static Result result(List<Ranked> ranked, Optional<ServerState> best) {
    if (ranked.isEmpty()) {
      return new Result.None();
    }
    return best.<Result>map(Result.Chosen::new).orElseGet(Result.Full::new);
  }

  private boolean confirmed(ServerState server) {
    return server.hasSample()
        && server.sampleAgeNanos(environment.clocks().nanos()) < FRESH_NANOS
        && server.sample().slowness() <= UNDISTURBED;
  }

  private Optional<ServerState> firstWithRoom(List<Ranked> ranked, String service, Chance chance) {
    for (Ranked candidate : ranked) {
      if (hasRoom(candidate.server(), service, chance)) {
        return Optional.of(candidate.server());
      }
    }
    return Optional.empty();
  }

  @Override
  public boolean hasRoom(ServerState server, String service, Chance chance) {
    ServiceLoad load = environment.routeState().load(service);
    long now = environment.clocks().nanos();
    return server.acceptsWork() && Room.hasRoom(server, load, chance, now);
  }

  private List<Ranked> rank(Route route, String service, Chance chance, Set<String> excluded) {
    List<ServerState> eligible = new ArrayList<>();
    for (ServerPool pool : environment.servers().of(service)) {
      if (pool.state().acceptsWork() && !excluded.contains(pool.state().entry().id())) {
        eligible.add(pool.state());
      }
    }
    Placement.Context context =
        new Placement.Context(
            environment.routeState().baseline(route).nanos(),
            chance == Chance.LATE ? route.timeoutNanos() : route.objectiveNanos(),
            environment.routeState().load(service).meanHeld(),
            environment.settings().dataCentre(),
            environment.clocks().nanos());
    return Placement.rank(eligible, context, environment.random());
  }
}
