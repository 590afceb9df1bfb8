package org.magnoliaswitch.front.process;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.magnoliaswitch.core.process.ServicePath;
import org.magnoliaswitch.core.process.ServicePaths;
import org.magnoliaswitch.front.connection.ServerPool;

/**
 * Handles the loss of paths to services, and tries the servers directly until a path is back.
 * Trials have a timer of their own, because busy relayed connections are used again and again and
 * no connection is opened that would show the way back. Runs on the loop of the requests.
 */
public final class PathRecovery {
  /** Bounds how late the return of a path is noticed. */
  private static final long TRIAL_MILLIS = 250;

  private final Environment environment;
  private final ServicePaths paths;
  private final Set<String> onTrial = new HashSet<>();

  public PathRecovery(Environment environment, ServicePaths paths) {
    this.environment = environment;
    this.paths = paths;
  }

  /** Starts observing the paths. */
  public void start() {
    paths.countServersWith(service -> usable(service).size());
    paths.addListener(this::changed);
    environment.metrics().gauge("paths.lost", paths::lostCount);
  }

  private void changed(String service, ServicePath.Change change) {
    switch (change) {
      case NONE -> {}
      case DETOUR_BEGUN -> startTrials(service);
      case LOST -> {
        lost(service);
        startTrials(service);
      }
      case RESTORED -> restored(service);
    }
  }

  /**
   * Gives up the direct connections, which hang or are about to be reset, and forgets failures that
   * were due to the path and not to the servers.
   */
  private void lost(String service) {
    log("path_lost", service);
    long now = environment.clocks().nanos();
    poolsOf(service)
        .forEach(
            pool -> {
              pool.closeIdle(false);
              pool.state().forgetFailures(now);
            });
  }

  private void restored(String service) {
    log("path_restored", service);
    poolsOf(service).forEach(pool -> pool.closeIdle(true));
  }

  private void startTrials(String service) {
    if (onTrial.add(service)) {
      scheduleTrial(service, 0);
    }
  }

  /** Tries one server after the other until there is no detour to any. */
  private void scheduleTrial(String service, int trials) {
    environment.loop().afterMillis(TRIAL_MILLIS, () -> trial(service, trials));
  }

  private void trial(String service, int trials) {
    List<String> candidates =
        paths.lost(service)
            ? usable(service).stream().map(pool -> pool.state().entry().id()).toList()
            : List.copyOf(paths.detours(service));
    if (candidates.isEmpty() && !paths.lost(service)) {
      onTrial.remove(service);
      return;
    }
    if (!candidates.isEmpty()) {
      tryDirectly(service, candidates.get(trials % candidates.size()));
    }
    scheduleTrial(service, trials + 1);
  }

  private void tryDirectly(String service, String serverId) {
    Optional<ServerPool> pool =
        poolsOf(service)
            .filter(known -> known.state().entry().id().equals(serverId))
            .filter(known -> known.state().acceptsWork())
            .findFirst();
    pool.ifPresentOrElse(ServerPool::tryDirectPath, () -> paths.forget(service, serverId));
  }

  private void log(String event, String service) {
    environment
        .log()
        .stateChange(event)
        .add("service", service)
        .add("servers", usable(service).size())
        .write();
  }

  /** Returns the servers that get new requests from this instance. */
  private List<ServerPool> usable(String service) {
    return environment.servers().of(service).stream()
        .filter(pool -> pool.state().acceptsWork())
        .toList();
  }

  private Stream<ServerPool> poolsOf(String service) {
    return environment.servers().all().stream()
        .filter(pool -> pool.state().entry().service().equals(service));
  }
}
