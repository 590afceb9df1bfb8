package org.magnoliaswitch.front.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.ServerConnection;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.LoadSample;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.Placement;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServiceLoad;
import org.magnoliaswitch.front.process.Environment;

/** One send of a request to one backend server. */
final class Attempt {
  /** Idle time after which a connection carries no request that may run only once. */
  private static final long MAX_IDLE_ONCE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Idle time after which a connection carries no request at all, if its server names none. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** How long a server may still be at work on a request whose caller has its answer. */
  private static final long LINGER_MILLIS = 1_500;

  /**
   * How long the loser of two sends may go on. It must end before a caller that has left since
   * would find its work still running, which counts from half a second.
   */
  private static final long OUTRUN_MILLIS = 300;

  private final RoutedExchange exchange;
  private final Environment environment;
  private final ServerPool pool;
  private final CallerRequest request;
  private final String requestId;
  private @Nullable ServerConnection connection;
  private long sentNanos;
  private double slownessAtStart = 1;
  private boolean warned;
  private boolean ended;

  Attempt(
      RoutedExchange exchange,
      Environment environment,
      ServerPool pool,
      CallerRequest request,
      String requestId) {
    this.exchange = exchange;
    this.environment = environment;
    this.pool = pool;
    this.request = request;
    this.requestId = requestId;
  }

  String serverId() {
    return pool.state().entry().id();
  }

  /** Whether the server may have received some of the request. */
  boolean written() {
    return connection != null;
  }

  /** Whether the request was known for suspect when it was sent, so that this is its trial. */
  boolean warned() {
    return warned;
  }

  void start(boolean idempotent) {
    pool.state().requestStarted();
    boolean anyKept =
        idempotent || !environment.settings().mechanisms().enabled(Mechanism.FRESH_CONNECTIONS);
    Optional<ServerConnection> kept =
        pool.acquireIdle(anyKept ? MAX_IDLE_NANOS : MAX_IDLE_ONCE_NANOS);
    if (kept.isPresent()) {
      write(kept.get());
    } else {
      pool.connect(this::connected, this::connectFailed);
    }
  }

  /** Ends the attempt and the server's work on it. */
  void abandon() {
    if (!ended) {
      end();
      if (connection != null) {
        connection.abandon();
      }
    }
  }

  /** The answer is late: the server is a worse choice for others. */
  void overdue(double usualNanos) {
    long now = environment.clocks().nanos();
    pool.state().recordOverdue((now - sentNanos) / usualNanos, now);
  }

  /**
   * Another server's answer was first. The rest of the work is left to end, since cutting it costs
   * a new connection; a server that never answers is noted as failing.
   */
  void outrun() {
    environment
        .loop()
        .afterMillis(
            OUTRUN_MILLIS,
            () -> {
              if (!ended) {
                environment.servers().recordFailure(pool.state(), "never_answered");
                abandon();
              }
            });
  }

  /** The caller has its final answer; what the server still does is of no use. */
  void timedOut(boolean idempotent) {
    if (ended || connection == null) {
      abandon();
      return;
    }
    environment.servers().recordFailure(pool.state(), "timeout");
    if (idempotent) {
      abandon();
    } else {
      environment.loop().afterMillis(LINGER_MILLIS, this::abandon);
    }
  }

  private void connected(ServerConnection opened) {
    if (ended || !exchange.waiting() || !pool.state().acceptsWork()) {
      pool.release(opened);
      if (!ended) {
        end();
        exchange.unreachable(this, "too_late");
      }
      return;
    }
    write(opened);
  }

  private void connectFailed(Throwable cause) {
    if (!ended) {
      end();
      environment.servers().recordUnreachable(pool.state());
      exchange.unreachable(this, cause.getClass().getSimpleName());
    }
  }

  private void write(ServerConnection target) {
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(exchange.leftNanos());
    if (leftMillis <= 0) {
      pool.release(target);
      end();
      exchange.unreachable(this, "deadline");
      return;
    }
    if (!environment.quotas().allowed(pool.state())) {
      pool.release(target);
      end();
      exchange.heldBack(this);
      return;
    }
    Verdict verdict = exchange.guard().crashes().admit();
    if (verdict == Verdict.REFUSED || verdict == Verdict.WAIT) {
      pool.release(target);
      end();
      exchange.heldBack(this);
      return;
    }
    warned = verdict == Verdict.TRIAL;
    connection = target;
    sentNanos = environment.clocks().nanos();
    pool.state().recordWrite(sentNanos);
    slownessAtStart = Placement.slowness(pool.state(), serviceLoad(), sentNanos);
    exchange.sends().writing();
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(Headers.endToEnd(request.headers()));
    message.headers().set(environment.names().deadlineMillis(), leftMillis);
    message.headers().set(environment.names().expectedServer(), serverId());
    boolean sized =
        request.body().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (sized || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    environment
        .log()
        .success("send")
        .add("request", requestId)
        .add("server", serverId())
        .add("left_ms", leftMillis)
        .add("held", pool.state().sample().outstanding())
        .addDecimal("slowness", pool.state().sample().slowness())
        .add("sample_age_ms", TimeUnit.NANOSECONDS.toMillis(pool.state().sampleAgeNanos(sentNanos)))
        .add("in_flight", pool.state().inFlight())
        .add("near", String.valueOf(near()))
        .write();
    Optional<String> echoed = Optional.of(requestId).filter(id -> !id.isEmpty());
    target.send(message, echoed, this::replied);
  }

  private boolean near() {
    return pool.state().entry().dataCentre().equals(environment.settings().dataCentre());
  }

  private void replied(ServerReply reply) {
    if (ended) {
      return;
    }
    end();
    switch (reply) {
      case ServerReply.Complete whole -> whole(whole);
      case ServerReply.Broken broken -> {
        environment.servers().recordFailure(pool.state(), "broken");
        exchange.guard().broke(pool, warned);
        exchange.broken(this, broken.reason());
      }
    }
  }

  private void whole(ServerReply.Complete whole) {
    learnLoad(whole);
    int status = whole.status().code();
    if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      pool.state().markRemoved();
      environment.log().stateChange("server_replaced").add("server", serverId()).write();
      exchange.rejected(this, status);
    } else if (whole.headers().contains(environment.names().notExecuted())) {
      environment.notices().received(pool.state(), notice(whole));
      environment.servers().recordFailure(pool.state(), "rejected");
      exchange.rejected(this, status);
    } else {
      environment.notices().answered(pool.state(), notice(whole), sentNanos);
      exchange.guard().answered(pool, sentNanos);
      judge(status);
      exchange.answered(this, whole);
    }
  }

  private ServerNotice notice(ServerReply.Complete whole) {
    return NoticeHeaders.read(whole, environment.names());
  }

  private void judge(int status) {
    if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
      environment.servers().recordFailure(pool.state(), "error");
      return;
    }
    exchange.learnLatency(environment.clocks().nanos() - sentNanos, slownessAtStart, pool.state());
  }

  private void learnLoad(ServerReply.Complete whole) {
    String load = whole.headers().get(environment.names().load());
    if (load != null) {
      int own = pool.state().inFlight();
      LoadSample.parse(load).ifPresent(sample -> sampled(sample, own));
    }
  }

  private void sampled(LoadSample told, int own) {
    ServiceLoad service = serviceLoad();
    LoadSample sample = service.afterAnswer(told, environment.settings().mechanisms());
    pool.state().recordSample(sample, own, environment.clocks().nanos());
    service.recordSample(sample);
  }

  private ServiceLoad serviceLoad() {
    return environment.routeState().load(pool.state().entry().service());
  }

  private void end() {
    ended = true;
    pool.state().requestEnded();
  }
}
