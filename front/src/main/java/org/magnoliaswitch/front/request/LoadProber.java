package org.magnoliaswitch.front.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.connection.PathLostException;
import org.magnoliaswitch.front.connection.ServerConnection;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.LoadSample;
import org.magnoliaswitch.front.load.ProbeShare;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.TokenBucket;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.Environment;

/**
 * Probes candidate servers for their load right before a request is placed.
 *
 * <p>Another process on its machine makes a server several times slower for a few hundred
 * milliseconds, so the samples from other responses are mostly too old. A probe also proves that an
 * idle connection still works before a non-idempotent request is written on it.
 */
final class LoadProber {
  /**
   * Time after which a round does not wait for further responses. It is enough to open a connection
   * to another data centre.
   */
  private static final long ROUND_TIMEOUT_MILLIS = 12;

  /** Time after which a connection that has not answered a health check counts as hung. */
  private static final long PROBE_TIMEOUT_MILLIS = 300;

  /** Idle time up to which an idle connection is used for a health check. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Number of probes of one server that may be sent at once after a time without probes. */
  private static final double BURST = 4;

  /** A remaining time in milliseconds, with or without a fraction. */
  private static final String MILLIS_PATTERN = "[0-9]{1,9}([.][0-9]{1,9})?";

  private final Environment environment;
  private final Map<ServerState, TokenBucket> limits = new WeakHashMap<>();

  LoadProber(Environment environment) {
    this.environment = environment;
  }

  /**
   * Probes each candidate that its budget allows: on an idle connection, or on a new one if it has
   * no connection at all. The request would need such a connection itself, and if its server is not
   * chosen, the connection stays open for the next request. Where each instance sees few requests,
   * only half of the probes could be sent without new connections.
   *
   * @param onComplete runs when it is time to choose a server
   */
  void probe(List<ServerPool> candidates, String healthPath, Runnable onComplete) {
    ProbeRound round = new ProbeRound(onComplete);
    for (ServerPool pool : candidates) {
      if (tryAcquire(pool)) {
        round.probe(pool, healthPath);
      }
    }
    round.start();
  }

  /** Whether a probe of the server would be sent now: its budget and connections allow one. */
  boolean mayProbe(ServerPool pool) {
    long now = environment.clocks().nanos();
    return acceptsProbes(pool.state())
        && (pool.state().idleConnections() > 0 || mayConnect(pool))
        && limit(pool, now).hasToken(probesPerSecond(pool), now);
  }

  private static boolean mayConnect(ServerPool pool) {
    return pool.size() == 0 && !pool.opening();
  }

  private boolean tryAcquire(ServerPool pool) {
    long now = environment.clocks().nanos();
    return acceptsProbes(pool.state()) && limit(pool, now).tryTake(probesPerSecond(pool), now);
  }

  private TokenBucket limit(ServerPool pool, long now) {
    return limits.computeIfAbsent(pool.state(), server -> new TokenBucket(BURST, now));
  }

  private double probesPerSecond(ServerPool pool) {
    return ProbeShare.perSecond(
        environment.settings().probesPerServer(),
        environment.instances().count(),
        environment.servers().subsetShare(pool.state().entry().service()));
  }

  /** Whether a server may be probed now; checked again once a connection for the probe is open. */
  private boolean acceptsProbes(ServerState server) {
    return server.acceptsWork() && server.backpressure().allowsProbes(environment.clocks().nanos());
  }

  /** The probes that are sent for one choice. */
  private final class ProbeRound {
    private final Runnable onComplete;
    private int outstanding;
    private boolean completed;
    private Loop.Timer timeout = () -> {};

    ProbeRound(Runnable onComplete) {
      this.onComplete = onComplete;
    }

    void probe(ServerPool pool, String healthPath) {
      Optional<ServerConnection> idle = pool.acquireIdle(MAX_IDLE_NANOS, Optional.empty());
      if (idle.isPresent()) {
        outstanding++;
        probe(pool, idle.get(), healthPath);
      } else if (mayConnect(pool)) {
        outstanding++;
        pool.connect(
            opened -> handleConnected(pool, opened, healthPath),
            cause -> handleConnectFailure(pool, cause));
      }
    }

    private void handleConnectFailure(ServerPool pool, Throwable cause) {
      if (!(cause instanceof PathLostException)) {
        environment.servers().recordUnreachable(pool.state());
      }
      probeEnded();
    }

    private void handleConnected(ServerPool pool, ServerConnection opened, String healthPath) {
      if (acceptsProbes(pool.state())) {
        probe(pool, opened, healthPath);
      } else {
        pool.release(opened);
        probeEnded();
      }
    }

    private void probe(ServerPool pool, ServerConnection connection, String healthPath) {
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, healthPath, Unpooled.EMPTY_BUFFER);
      request.headers().set(HttpHeaderNames.HOST, pool.state().entry().host());
      request.headers().set(environment.names().expectedServer(), pool.state().entry().id());
      Probe probe = new Probe(this, pool, connection);
      connection.send(request, Optional.empty(), probe::handleReply);
      probe.startTimeout();
    }

    void start() {
      if (outstanding == 0) {
        complete();
      } else {
        timeout = environment.loop().afterMillis(ROUND_TIMEOUT_MILLIS, this::complete);
      }
    }

    void probeEnded() {
      outstanding--;
      if (outstanding == 0) {
        // Deferred, so that the connections that answered are back in their pools.
        environment.loop().execute(this::complete);
      }
    }

    private void complete() {
      if (!completed) {
        completed = true;
        timeout.cancel();
        onComplete.run();
      }
    }
  }

  /** One probe of one server. */
  private final class Probe {
    private final ProbeRound round;
    private final ServerPool pool;
    private final ServerConnection connection;
    private boolean ended;
    private Loop.Timer timeout = () -> {};

    Probe(ProbeRound round, ServerPool pool, ServerConnection connection) {
      this.round = round;
      this.pool = pool;
      this.connection = connection;
    }

    /** Starts the time limit, unless the probe has failed at once. */
    void startTimeout() {
      if (!ended) {
        timeout = environment.loop().afterMillis(PROBE_TIMEOUT_MILLIS, this::handleTimeout);
      }
    }

    void handleReply(ServerReply reply) {
      ended = true;
      timeout.cancel();
      boolean answered = reply instanceof ServerReply.Complete;
      environment.metrics().count("probes", service(), answered ? "answered" : "broken");
      if (reply instanceof ServerReply.Complete complete) {
        recordResponse(complete);
      }
      round.probeEnded();
    }

    private String service() {
      return pool.state().entry().service();
    }

    void handleTimeout() {
      if (!ended) {
        ended = true;
        environment.metrics().count("probes", service(), "silent");
        connection.abandon();
        environment.servers().recordFailure(pool.state(), "probe_silent");
        environment.log().failure("probe_silent").add("server", pool.state().entry().id()).write();
        round.probeEnded();
      }
    }

    private void recordSample(LoadSample sample, int ownInFlight) {
      pool.state().recordSample(sample, ownInFlight, environment.clocks().nanos());
      environment.routeState().load(service()).recordSample(sample);
    }

    private void recordWarmup(@Nullable String remainingMillis) {
      if (remainingMillis != null && remainingMillis.matches(MILLIS_PATTERN)) {
        long remainingNanos =
            TimeUnit.MILLISECONDS.toNanos((long) Double.parseDouble(remainingMillis));
        pool.state().recordWarmup(remainingNanos, environment.clocks().nanos());
      }
    }

    private void recordResponse(ServerReply.Complete response) {
      String id = response.headers().get(environment.names().serverId());
      if (id != null && !id.equals(pool.state().entry().id())) {
        pool.state().markRemoved();
        environment
            .log()
            .stateChange("server_replaced")
            .add("server", pool.state().entry().id())
            .add("found", id)
            .write();
        return;
      }
      environment
          .notices()
          .received(pool.state(), NoticeHeaders.read(response, environment.names()));
      recordWarmup(response.headers().get(environment.names().warmupLeft()));
      String load = response.headers().get(environment.names().load());
      if (load == null) {
        environment.routeState().load(service()).markNotReporting();
      } else {
        int ownInFlight = pool.state().inFlight();
        LoadSample.parse(load).ifPresent(sample -> recordSample(sample, ownInFlight));
      }
    }
  }
}
