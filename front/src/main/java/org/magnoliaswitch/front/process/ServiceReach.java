package org.magnoliaswitch.front.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.connection.ServerPool;

/**
 * Finds out whether a service is in reach of this instance, by connecting to its servers in the way
 * in which connections are opened now. Used by one thread.
 */
public final class ServiceReach {
  private static final int SERVERS_AT_A_TIME = 3;

  /** Time after which no further server is tried; refusals come faster, silence does not end. */
  private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Result of a check. */
  public enum Result {
    /** Another server has accepted a connection. */
    REACHED,
    /** No other server that was tried has accepted one. */
    NOT_REACHED,
    /** There is no other server to try. */
    NO_OTHER_SERVER
  }

  /** Servers of a service to which connections are opened in the same way. */
  private record Way(String service, boolean detour) {
    static Way to(ServerPool pool) {
      return new Way(pool.state().entry().service(), pool.detour());
    }
  }

  private record Waiting(
      ServerPool without, Predicate<ServerPool> presumedCrashed, Consumer<Result> callback) {}

  private final Function<String, List<ServerPool>> servers;
  private final Clocks clocks;
  private final Map<Way, Check> running = new HashMap<>();

  /**
   * Creates the checks.
   *
   * @param servers returns the servers of a service
   */
  ServiceReach(Function<String, List<ServerPool>> servers, Clocks clocks) {
    this.servers = servers;
    this.clocks = clocks;
  }

  /**
   * Checks whether a server other than the given one accepts a connection. Concurrent checks of a
   * service share the connections that are opened.
   *
   * @param presumedCrashed whether a server is known to have crashed, so that it cannot tell
   */
  public void check(
      ServerPool without, Predicate<ServerPool> presumedCrashed, Consumer<Result> callback) {
    Way way = Way.to(without);
    Waiting waiting = new Waiting(without, presumedCrashed, callback);
    Check check = running.get(way);
    if (check == null) {
      begin(way, List.of(waiting));
    } else {
      check.joined.add(waiting);
    }
  }

  private void begin(Way way, List<Waiting> waiting) {
    Check check = new Check(way, waiting, candidates(way, waiting.getFirst()));
    running.put(way, check);
    check.proceed();
  }

  /**
   * Returns the servers to try; those with open connections are the likeliest to accept. Servers
   * that were unreachable a while ago are tried, too: they may be back.
   */
  private Deque<ServerPool> candidates(Way way, Waiting first) {
    Deque<ServerPool> candidates = new ArrayDeque<>();
    for (ServerPool pool : servers.apply(way.service())) {
      boolean usable = pool.state().acceptsWork() && !first.presumedCrashed().test(pool);
      if (pool == first.without() || !usable || pool.detour() != way.detour()) {
        continue;
      }
      if (pool.size() > 0) {
        candidates.addFirst(pool);
      } else {
        candidates.addLast(pool);
      }
    }
    return candidates;
  }

  private final class Check {
    private final Way way;
    private final List<Waiting> begunWith;
    private final List<Waiting> joined = new ArrayList<>();
    private final Deque<ServerPool> candidates;
    private final Result resultIfNoneAccepts;
    private final long startNanos = clocks.nanos();
    private int connecting;
    private boolean ended;

    Check(Way way, List<Waiting> begunWith, Deque<ServerPool> candidates) {
      this.way = way;
      this.begunWith = begunWith;
      this.candidates = candidates;
      this.resultIfNoneAccepts = candidates.isEmpty() ? Result.NO_OTHER_SERVER : Result.NOT_REACHED;
    }

    void proceed() {
      while (!ended && connecting < SERVERS_AT_A_TIME && !candidates.isEmpty()) {
        connecting++;
        candidates.removeFirst().checkReachable(this::connected);
      }
      if (!ended && connecting == 0) {
        end(resultIfNoneAccepts);
      }
    }

    private void connected(boolean accepted) {
      connecting--;
      if (ended) {
        return;
      }
      if (accepted) {
        end(Result.REACHED);
        return;
      }
      if (clocks.nanos() - startNanos >= MAX_NANOS) {
        candidates.clear();
      }
      proceed();
    }

    /** A server that accepts tells those that joined, too; one that was tried before does not. */
    private void end(Result result) {
      ended = true;
      running.remove(way);
      if (result == Result.REACHED) {
        complete(joined, result);
      } else if (!joined.isEmpty()) {
        begin(way, joined);
      }
      complete(begunWith, result);
    }

    private static void complete(Collection<Waiting> all, Result result) {
      all.forEach(waiting -> waiting.callback().accept(result));
    }
  }
}
