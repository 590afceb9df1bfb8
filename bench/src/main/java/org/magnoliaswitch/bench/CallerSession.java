package org.magnoliaswitch.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.standins.AnswerBody;

/** The connections of callers to one instance, or to one backend server in direct runs. */
final class CallerSession {
  private static final int MAX_CONNECTIONS = 20_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int OK = 200;

  /** Idle time after which callers close a connection. */
  private static final long KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * The result of one attempt.
   *
   * @param verdict what the caller knows about the execution
   * @param attemptNotExecuted whether this attempt was certainly not executed
   * @param status HTTP status; 0 if there was no answer
   * @param retryAfterSeconds time after which the caller may retry; 0 if not given
   * @param nextKey idempotency key issued with the answer
   * @param server backend server that answered
   */
  record AttemptResult(
      Verdict verdict,
      boolean attemptNotExecuted,
      int status,
      int retryAfterSeconds,
      Optional<String> nextKey,
      String server) {
    static final AttemptResult FAILED =
        new AttemptResult(Verdict.NO_ANSWER, false, 0, 0, Optional.empty(), "");
  }

  private volatile boolean healthy = true;
  private final AtomicLong ownRequests = new AtomicLong();
  private final ConnectionPool pool;
  private final String host;
  private final Clocks clocks;

  CallerSession(String hostPort, Clocks clocks) {
    int colon = hostPort.lastIndexOf(':');
    this.host = hostPort;
    this.clocks = clocks;
    this.pool =
        new ConnectionPool(
            new InetSocketAddress(
                hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1))),
            MAX_CONNECTIONS,
            clocks);
  }

  /**
   * Sends one request.
   *
   * @param operation identifies the operation; the same for all attempts of a request
   */
  AttemptResult send(
      Scenario.LoadKind kind,
      String operation,
      Optional<String> key,
      int attempt,
      long deadlineNanos) {
    BasicClassicHttpRequest request = new BasicClassicHttpRequest(kind.method(), kind.path());
    request.setHeader("Host", host);
    String id = operation + '-' + attempt;
    request.setHeader(BackendConnection.ID_HEADER, id);
    request.setHeader("Operation-Id", operation);
    request.setHeader("Request-Attempt", String.valueOf(attempt));
    long remaining = deadlineNanos - clocks.nanos();
    request.setHeader(
        "Request-Timeout-Ms",
        String.valueOf(Math.max(1, TimeUnit.NANOSECONDS.toMillis(remaining))));
    key.ifPresent(k -> request.setHeader("Idempotency-Key", k));
    if (!kind.method().equals("GET")) {
      byte[] body = ("operation=" + operation).getBytes(StandardCharsets.UTF_8);
      request.setHeader("Content-Length", String.valueOf(body.length));
      request.setEntity(new ByteArrayEntity(body, null));
    }
    return exchange(request, id, kind, operation, remaining);
  }

  private AttemptResult exchange(
      BasicClassicHttpRequest request,
      String id,
      Scenario.LoadKind kind,
      String operation,
      long remaining) {
    if (remaining <= 0) {
      return AttemptResult.FAILED;
    }
    BackendConnection connection;
    try {
      connection = pool.acquire(KEEP_ALIVE_NANOS, CONNECT_TIMEOUT_MILLIS, id);
    } catch (IOException e) {
      return AttemptResult.FAILED;
    }
    boolean keep = false;
    try {
      // Waits slightly longer than the deadline, so that a late answer is counted as late instead
      // of missing.
      long maxWait = remaining + TimeUnit.MILLISECONDS.toNanos(500);
      long attemptTimeout = TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis() * 2L / 5);
      connection.setReadTimeout(kind.tries() > 1 ? Math.min(maxWait, attemptTimeout) : maxWait);
      connection.send(request);
      ClassicHttpResponse response = connection.receiveHead();
      connection.receiveBody(response);
      byte[] body =
          response.getEntity() == null
              ? new byte[0]
              : response.getEntity().getContent().readAllBytes();
      Header close = response.getFirstHeader("Connection");
      keep = close == null || !"close".equalsIgnoreCase(close.getValue());
      return read(response, body, kind, operation);
    } catch (IOException | HttpException e) {
      return AttemptResult.FAILED;
    } finally {
      if (keep) {
        pool.release(connection);
      } else {
        pool.discard(connection);
      }
    }
  }

  private static AttemptResult read(
      ClassicHttpResponse response, byte[] body, Scenario.LoadKind kind, String operation) {
    String outcome = header(response, "Request-Outcome").orElse("");
    int status = response.getCode();
    boolean direct = outcome.isEmpty();
    boolean success = status == OK && (direct || outcome.equals("executed"));
    Verdict verdict;
    if (success) {
      verdict =
          AnswerBody.isComplete(operation, kind.size(), body) ? Verdict.EXECUTED : Verdict.WRONG;
    } else if (outcome.equals("executed")) {
      verdict = Verdict.EXECUTED;
    } else {
      verdict = outcome.equals("not-executed") || direct ? Verdict.NOT_EXECUTED : Verdict.UNKNOWN;
    }
    int retryAfter = header(response, "Retry-After").map(Integer::parseInt).orElse(0);
    boolean attemptNotExecuted =
        verdict == Verdict.NOT_EXECUTED || header(response, "Attempt-Outcome").isPresent();
    return new AttemptResult(
        verdict,
        attemptNotExecuted,
        status,
        retryAfter,
        header(response, "Issued-Idempotency-Key"),
        header(response, "Server-Id").orElse(""));
  }

  /** Whether the external load balancer would send requests to this instance. */
  boolean healthy() {
    return healthy;
  }

  /** Runs the health check of the external load balancer. */
  void checkHealth() {
    healthy = fetch("/.well-known/magnoliaswitch/ready").isPresent();
  }

  /** Requests an idempotency key from the instance. */
  Optional<String> issueKey() {
    return fetch("/.well-known/magnoliaswitch/keys");
  }

  /** Queries the outcome of a key; empty while the outcome is unknown. */
  Optional<Verdict> outcome(String service, String key) {
    String path = "/.well-known/magnoliaswitch/outcomes?service=" + service + "&key=" + key;
    return exchange(path).flatMap(CallerSession::toVerdict);
  }

  private static Optional<Verdict> toVerdict(Response response) {
    return switch (response.outcome()) {
      case "executed" -> Optional.of(Verdict.EXECUTED);
      case "not-executed" -> Optional.of(Verdict.NOT_EXECUTED);
      default -> Optional.empty();
    };
  }

  private record Response(int status, String outcome, String text) {}

  private Optional<String> fetch(String path) {
    return exchange(path).filter(response -> response.status() == OK).map(Response::text);
  }

  private Optional<Response> exchange(String path) {
    BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
    request.setHeader("Host", host);
    String id = "own-" + ownRequests.incrementAndGet();
    request.setHeader(BackendConnection.ID_HEADER, id);
    try {
      BackendConnection connection = pool.acquire(KEEP_ALIVE_NANOS, CONNECT_TIMEOUT_MILLIS, id);
      boolean keep = false;
      try {
        connection.setReadTimeout(TimeUnit.SECONDS.toNanos(1));
        connection.send(request);
        ClassicHttpResponse response = connection.receiveHead();
        connection.receiveBody(response);
        String text =
            new String(response.getEntity().getContent().readAllBytes(), StandardCharsets.UTF_8);
        keep = response.getFirstHeader("Connection") == null;
        String outcome = header(response, "Request-Outcome").orElse("");
        return Optional.of(new Response(response.getCode(), outcome, text.strip()));
      } finally {
        if (keep) {
          pool.release(connection);
        } else {
          pool.discard(connection);
        }
      }
    } catch (IOException | HttpException e) {
      return Optional.empty();
    }
  }

  private static Optional<String> header(ClassicHttpResponse response, String name) {
    Header header = response.getFirstHeader(name);
    return header == null ? Optional.empty() : Optional.ofNullable(header.getValue());
  }
}
