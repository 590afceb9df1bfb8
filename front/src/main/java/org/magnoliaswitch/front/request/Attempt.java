package org.magnoliaswitch.front.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.PathLostException;
import org.magnoliaswitch.front.connection.ServerConnection;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.LoadSample;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.Placement;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServiceLoad;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.Environment;

/** One attempt to have a request served by one backend server. */
final class Attempt {
  /** Idle time after which a connection is no longer used for non-idempotent requests. */
  private static final long MAX_IDLE_NON_IDEMPOTENT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /**
   * Idle time after which a connection is not reused at all; the server's keep-alive timeout may be
   * shorter.
   */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(20);

  /**
   * Time for which a server may continue a non-idempotent request after its timeout, when its
   * caller has received the final response or has left.
   */
  private static final long TIMED_OUT_GRACE_MILLIS = 1_500;

  /**
   * Time for which the slower of two attempts may continue. Work for a caller that has left counts
   * as still running after half a second, so the limit stays below that.
   */
  private static final long SUPERSEDED_GRACE_MILLIS = 300;

  private final RoutedExchange exchange;
  private final Environment environment;
  private final ServerPool pool;
  private final CallerRequest request;
  private final String requestId;
  private @Nullable ServerConnection connection;
  private long sentNanos;
  private double slownessWhenSent = 1;
  private boolean trial;
  private boolean ended;
  private Optional<Loop.Timer> departedCallerTimer = Optional.empty();

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

  /** Whether the server may have received a part of the request. */
  boolean written() {
    return connection != null;
  }

  /**
   * Whether this attempt is the trial of a request that was already suspected of crashing servers
   * when it was sent.
   */
  boolean trial() {
    return trial;
  }

  void start(boolean idempotent) {
    pool.state().requestStarted();
    boolean reuseAny =
        idempotent || !environment.settings().mechanisms().enabled(Mechanism.FRESH_CONNECTIONS);
    Optional<ServerConnection> idle =
        echoedId().isEmpty()
            ? Optional.empty()
            : pool.acquireIdle(
                reuseAny ? MAX_IDLE_NANOS : MAX_IDLE_NON_IDEMPOTENT_NANOS, echoedId());
    if (idle.isPresent()) {
      write(idle.get());
    } else {
      pool.connect(this::handleConnected, this::handleConnectFailure);
    }
  }

  /** Ends the attempt and cancels the server's work on it. */
  void cancel() {
    if (!ended) {
      end();
      if (connection != null) {
        connection.abandon();
      }
    }
  }

  /** Records the response as late, which makes the server a worse choice for other requests. */
  void markOverdue(double usualLatencyNanos) {
    long now = environment.clocks().nanos();
    pool.state().recordOverdue((now - sentNanos) / usualLatencyNanos, now);
  }

  /**
   * Called when another server answered first. The attempt may complete, since cancelling it costs
   * a new connection; a server that does not answer in time is recorded as failing.
   */
  void superseded() {
    environment
        .loop()
        .afterMillis(
            SUPERSEDED_GRACE_MILLIS,
            () -> {
              if (!ended) {
                environment.servers().recordFailure(pool.state(), "never_answered");
                cancel();
              }
            });
  }

  /**
   * Called when the caller got its final response by a timeout, which makes the work of the server
   * useless.
   */
  void callerTimedOut(boolean idempotent) {
    if (ended || connection == null) {
      cancel();
      return;
    }
    environment.servers().recordFailure(pool.state(), "timeout");
    if (idempotent) {
      cancel();
    } else {
      environment.loop().afterMillis(TIMED_OUT_GRACE_MILLIS, this::cancel);
    }
  }

  /**
   * Called when the caller of a non-idempotent request has left. Its server may complete it within
   * the time that it was given; without a limit, a server that hangs would keep its connection and
   * its count of requests in flight for ever.
   */
  void callerLeft() {
    departedCallerTimer =
        Optional.of(
            environment.loop().after(exchange.remainingNanos(), () -> callerTimedOut(false)));
  }

  private void handleConnected(ServerConnection opened) {
    if (ended || !exchange.awaitsResponse() || !pool.state().acceptsWork()) {
      pool.release(opened);
      if (!ended) {
        end();
        exchange.unreachable(this, "too_late");
      }
      return;
    }
    write(opened);
  }

  private void handleConnectFailure(Throwable cause) {
    if (!ended) {
      end();
      if (!(cause instanceof PathLostException)) {
        environment.servers().recordUnreachable(pool.state());
      }
      exchange.unreachable(this, cause.getClass().getSimpleName());
    }
  }

  private void write(ServerConnection target) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(exchange.remainingNanos());
    if (remainingMillis <= 0) {
      pool.release(target);
      end();
      exchange.unreachable(this, "deadline");
      return;
    }
    Optional<Denial> denial = exchange.access().check();
    if (denial.isPresent()) {
      pool.release(target);
      end();
      exchange.denied(this, denial.get());
      return;
    }
    if (!environment.quotas().allowed(pool.state())) {
      pool.release(target);
      end();
      exchange.notAdmitted(this);
      return;
    }
    Verdict verdict = exchange.crashDetector().crashes().admit();
    if (verdict == Verdict.REFUSED || verdict == Verdict.WAIT) {
      pool.release(target);
      end();
      exchange.notAdmitted(this);
      return;
    }
    trial = verdict == Verdict.TRIAL;
    connection = target;
    sentNanos = environment.clocks().nanos();
    pool.state().recordWrite(sentNanos);
    slownessWhenSent = Placement.slowness(pool.state(), serviceLoad(), sentNanos);
    exchange.attempts().attemptStarted();
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(EndToEndHeaders.ofRequest(request.headers(), environment.names()));
    exchange.access().replaceHeaders(message.headers());
    message.headers().set(environment.names().deadlineMillis(), remainingMillis);
    message.headers().set(environment.names().expectedServer(), serverId());
    boolean declaresLength =
        request.body().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (declaresLength || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    environment
        .log()
        .success("send")
        .add("request", requestId)
        .add("server", serverId())
        .add("left_ms", remainingMillis)
        .add("held", pool.state().sample().outstanding())
        .addDecimal("slowness", pool.state().sample().slowness())
        .add("sample_age_ms", TimeUnit.NANOSECONDS.toMillis(pool.state().sampleAgeNanos(sentNanos)))
        .add("in_flight", pool.state().inFlight())
        .add("near", String.valueOf(inOwnDataCentre()))
        .add("exchange", target.exchanges() + 1)
        .add("connection_age_ms", TimeUnit.NANOSECONDS.toMillis(target.ageNanos()))
        .add("relay", target.relay().map(InetSocketAddress::getHostString).orElse("-"))
        .write();
    if (echoedId().isEmpty()) {
      target.closeAfterExchange();
    }
    target.send(message, echoedId(), this::handleReply);
  }

  /** The id that the response must echo; a request without one gets a connection of its own. */
  private Optional<String> echoedId() {
    return Optional.of(requestId).filter(id -> !id.isEmpty());
  }

  private boolean inOwnDataCentre() {
    return pool.state().entry().dataCentre().equals(environment.settings().dataCentre());
  }

  private void handleReply(ServerReply reply) {
    if (ended) {
      return;
    }
    end();
    switch (reply) {
      case ServerReply.Complete complete -> handleResponse(complete);
      case ServerReply.Broken broken -> {
        environment.servers().recordFailure(pool.state(), "broken");
        exchange.crashDetector().connectionBroken(pool, trial);
        exchange.broken(this, broken.reason());
      }
    }
  }

  private void handleResponse(ServerReply.Complete response) {
    recordLoad(response);
    int status = response.status().code();
    if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      pool.state().markRemoved();
      environment.log().stateChange("server_replaced").add("server", serverId()).write();
      exchange.rejected(this, status);
    } else if (response.headers().contains(environment.names().notExecuted())) {
      environment.notices().received(pool.state(), notice(response));
      environment.servers().recordFailure(pool.state(), "rejected");
      exchange.rejected(this, status);
    } else {
      environment.notices().answered(pool.state(), notice(response), sentNanos);
      exchange.crashDetector().answered(pool, sentNanos);
      recordResult(status);
      exchange.answered(this, response);
    }
  }

  private ServerNotice notice(ServerReply.Complete response) {
    return NoticeHeaders.read(response, environment.names());
  }

  private void recordResult(int status) {
    if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
      environment.servers().recordFailure(pool.state(), "error");
      return;
    }
    exchange.recordLatency(
        environment.clocks().nanos() - sentNanos, slownessWhenSent, pool.state());
  }

  private void recordLoad(ServerReply.Complete response) {
    String load = response.headers().get(environment.names().load());
    if (load != null) {
      int ownInFlight = pool.state().inFlight();
      LoadSample.parse(load).ifPresent(sample -> recordSample(sample, ownInFlight));
    }
  }

  private void recordSample(LoadSample reported, int ownInFlight) {
    ServiceLoad service = serviceLoad();
    LoadSample sample = service.afterAnswer(reported, environment.settings().mechanisms());
    pool.state().recordSample(sample, ownInFlight, environment.clocks().nanos());
    service.recordSample(sample);
  }

  private ServiceLoad serviceLoad() {
    return environment.routeState().load(pool.state().entry().service());
  }

  private void end() {
    ended = true;
    departedCallerTimer.ifPresent(Loop.Timer::cancel);
    pool.state().requestEnded();
  }
}
