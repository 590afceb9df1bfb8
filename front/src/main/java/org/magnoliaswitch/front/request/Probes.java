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
import org.magnoliaswitch.front.connection.ServerConnection;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.LoadSample;
import org.magnoliaswitch.front.load.ProbeShare;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.TokenBucket;
import org.magnoliaswitch.front.process.Environment;

/**
 * Asks candidates for their load just before a request is placed.
 *
 * <p>A neighbour makes a server several times slower for a few hundred milliseconds, so news from
 * other answers are mostly too old. Asking also proves that the kept connection still works before
 * a request that may run only once is written on it.
 */
final class Probes {
  /**
   * Answers later than this are not waited for. It leaves time for a new connection to another data
   * centre.
   */
  private static final long WAIT_MILLIS = 12;

  /** A connection that has not answered a health check by then is taken for silent. */
  private static final long SILENT_MILLIS = 300;

  /** Kept connections younger than this may carry a health check. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Checks of one server that may follow each other at once, after a pause. */
  private static final double BURST = 4;

  /** A time left in milliseconds, with or without a fraction. */
  private static final String MILLIS = "[0-9]{1,9}([.][0-9]{1,9})?";

  private final Environment environment;
  private final Map<ServerState, TokenBucket> limits = new WeakHashMap<>();

  Probes(Environment environment) {
    this.environment = environment;
  }

  /**
   * Asks each candidate on a kept connection, or on a new one where there is none; runs the action
   * when it is time to choose. The request itself would need the connection, and one that was not
   * chosen stays for the next: where each instance sees few requests, only half of the questions
   * could be asked without.
   */
  void ask(List<ServerPool> candidates, String healthPath, Runnable choose) {
    Round round = new Round(choose);
    for (ServerPool pool : candidates) {
      if (allowed(pool)) {
        round.ask(pool, healthPath);
      }
    }
    round.begin();
  }

  private boolean allowed(ServerPool pool) {
    long now = environment.clocks().nanos();
    if (!allowsChecks(pool.state())) {
      return false;
    }
    double perSecond =
        ProbeShare.perSecond(
            environment.settings().probesPerServer(),
            environment.instances().count(),
            environment.servers().subsetShare(pool.state().entry().service()));
    return limits
        .computeIfAbsent(pool.state(), server -> new TokenBucket(BURST, now))
        .tryTake(perSecond, now);
  }

  /** Whether a server may be checked now; asked again once a connection for the check is open. */
  private boolean allowsChecks(ServerState server) {
    return server.acceptsWork() && server.backpressure().allowsProbes(environment.clocks().nanos());
  }

  /** One set of questions. */
  private final class Round {
    private final Runnable choose;
    private int open;
    private boolean chosen;

    Round(Runnable choose) {
      this.choose = choose;
    }

    void ask(ServerPool pool, String healthPath) {
      Optional<ServerConnection> kept = pool.acquireIdle(MAX_IDLE_NANOS);
      if (kept.isPresent()) {
        open++;
        ask(pool, kept.get(), healthPath);
      } else if (pool.size() == 0 && !pool.opening()) {
        open++;
        pool.connect(opened -> connected(pool, opened, healthPath), cause -> unreachable(pool));
      }
    }

    private void unreachable(ServerPool pool) {
      environment.servers().recordUnreachable(pool.state());
      answered();
    }

    private void connected(ServerPool pool, ServerConnection opened, String healthPath) {
      if (allowsChecks(pool.state())) {
        ask(pool, opened, healthPath);
      } else {
        pool.release(opened);
        answered();
      }
    }

    private void ask(ServerPool pool, ServerConnection connection, String healthPath) {
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, healthPath, Unpooled.EMPTY_BUFFER);
      request.headers().set(HttpHeaderNames.HOST, pool.state().entry().host());
      request.headers().set(environment.names().expectedServer(), pool.state().entry().id());
      Question question = new Question(this, pool, connection);
      connection.send(request, Optional.empty(), question::ended);
      environment.loop().afterMillis(SILENT_MILLIS, question::silent);
    }

    void begin() {
      if (open == 0) {
        decide();
      } else {
        environment.loop().afterMillis(WAIT_MILLIS, this::decide);
      }
    }

    void answered() {
      open--;
      if (open == 0) {
        // Deferred, so that the connections that answered are back in their pools.
        environment.loop().execute(this::decide);
      }
    }

    private void decide() {
      if (!chosen) {
        chosen = true;
        choose.run();
      }
    }
  }

  /** One question to one server. */
  private final class Question {
    private final Round round;
    private final ServerPool pool;
    private final ServerConnection connection;
    private boolean ended;

    Question(Round round, ServerPool pool, ServerConnection connection) {
      this.round = round;
      this.pool = pool;
      this.connection = connection;
    }

    void ended(ServerReply reply) {
      ended = true;
      boolean answered = reply instanceof ServerReply.Complete;
      environment.metrics().count("probes", service(), answered ? "answered" : "broken");
      if (reply instanceof ServerReply.Complete whole) {
        learn(whole);
      }
      round.answered();
    }

    private String service() {
      return pool.state().entry().service();
    }

    void silent() {
      if (!ended) {
        ended = true;
        environment.metrics().count("probes", service(), "silent");
        connection.abandon();
        environment.servers().recordFailure(pool.state(), "probe_silent");
        environment.log().failure("probe_silent").add("server", pool.state().entry().id()).write();
        round.answered();
      }
    }

    private void sampled(LoadSample sample, int own) {
      pool.state().recordSample(sample, own, environment.clocks().nanos());
      environment.routeState().load(service()).recordSample(sample);
    }

    private void learnWarmup(@Nullable String leftMillis) {
      if (leftMillis != null && leftMillis.matches(MILLIS)) {
        long left = TimeUnit.MILLISECONDS.toNanos((long) Double.parseDouble(leftMillis));
        pool.state().recordWarmup(left, environment.clocks().nanos());
      }
    }

    private void learn(ServerReply.Complete whole) {
      String id = whole.headers().get(environment.names().serverId());
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
      environment.notices().received(pool.state(), NoticeHeaders.read(whole, environment.names()));
      learnWarmup(whole.headers().get(environment.names().warmupLeft()));
      String load = whole.headers().get(environment.names().load());
      if (load == null) {
        environment.routeState().load(service()).markNotReporting();
      } else {
        int own = pool.state().inFlight();
        LoadSample.parse(load).ifPresent(sample -> sampled(sample, own));
      }
    }
  }
}
