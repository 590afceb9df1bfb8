package org.magnoliaswitch.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.standins.AnswerBody;

/** Callers' connections to one instance, or to one backend server for direct runs. */
final class CallerSession {
  private static final int MAX_CONNECTIONS = 20_000;
  private static final int CONNECT_MILLIS = 1_000;
  private static final int OK = 200;

  /** How long callers keep a connection they do not use. */
  private static final long KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * What one try brought.
   *
   * @param verdict what the caller knows
   * @param copyNotExecuted whether this copy of the request was certainly not executed
   * @param status HTTP status, 0 without an answer
   * @param retryAfterSeconds when to come back, 0 when not told
   * @param nextKey a key issued with the answer
   * @param server backend server that answered
   */
  record Try(
      Verdict verdict,
      boolean copyNotExecuted,
      int status,
      int retryAfterSeconds,
      Optional<String> nextKey,
      String server) {
    static final Try FAILED = new Try(Verdict.NO_ANSWER, false, 0, 0, Optional.empty(), "");
  }

  private volatile boolean healthy = true;
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
   * @param operation names what the caller wants, the same over its tries
   */
  Try send(
      Scenario.LoadKind kind,
      String operation,
      Optional<String> key,
      int attempt,
      long deadlineNanos) {
    BasicClassicHttpRequest request = new BasicClassicHttpRequest(kind.method(), kind.path());
    request.setHeader("Host", host);
    request.setHeader("X-Request-Id", operation + '-' + attempt);
    request.setHeader("Operation-Id", operation);
    request.setHeader("Request-Attempt", String.valueOf(attempt));
    long left = deadlineNanos - clocks.nanos();
    request.setHeader(
        "Request-Timeout-Ms", String.valueOf(Math.max(1, TimeUnit.NANOSECONDS.toMillis(left))));
    key.ifPresent(k -> request.setHeader("Idempotency-Key", k));
    if (!kind.method().equals("GET")) {
      byte[] body = ("operation=" + operation).getBytes(StandardCharsets.UTF_8);
      request.setHeader("Content-Length", String.valueOf(body.length));
      request.setEntity(new ByteArrayEntity(body, null));
    }
    return exchange(request, kind, operation, left);
  }

  private Try exchange(
      BasicClassicHttpRequest request, Scenario.LoadKind kind, String operation, long left) {
    if (left <= 0) {
      return Try.FAILED;
    }
    BackendConnection connection;
    try {
      connection = pool.acquire(KEEP_ALIVE_NANOS, CONNECT_MILLIS);
    } catch (IOException e) {
      return Try.FAILED;
    }
    boolean keep = false;
    try {
      // Callers wait a little past their deadline, so that a late answer is seen as late.
      long whole = left + TimeUnit.MILLISECONDS.toNanos(500);
      long patience = TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis() * 2L / 5);
      connection.setReadTimeout(kind.tries() > 1 ? Math.min(whole, patience) : whole);
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
      return Try.FAILED;
    } finally {
      if (keep) {
        pool.release(connection);
      } else {
        pool.discard(connection);
      }
    }
  }

  private static Try read(
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
    boolean copyNotExecuted =
        verdict == Verdict.NOT_EXECUTED || header(response, "Attempt-Outcome").isPresent();
    return new Try(
        verdict,
        copyNotExecuted,
        status,
        retryAfter,
        header(response, "Issued-Idempotency-Key"),
        header(response, "Server-Id").orElse(""));
  }

  /** Whether the balancer in front would send requests here. */
  boolean healthy() {
    return healthy;
  }

  /** The health check of the balancer in front. */
  void checkHealth() {
    healthy = fetch("/.well-known/magnoliaswitch/ready").isPresent();
  }

  /** Asks the instance for a key. */
  Optional<String> issueKey() {
    return fetch("/.well-known/magnoliaswitch/keys");
  }

  /** Asks what became of a key; nothing while nobody can tell. */
  Optional<Verdict> outcome(String service, String key) {
    String path = "/.well-known/magnoliaswitch/outcomes?service=" + service + "&key=" + key;
    return exchange(path).flatMap(CallerSession::told);
  }

  private static Optional<Verdict> told(Told told) {
    return switch (told.outcome()) {
      case "executed" -> Optional.of(Verdict.EXECUTED);
      case "not-executed" -> Optional.of(Verdict.NOT_EXECUTED);
      default -> Optional.empty();
    };
  }

  private record Told(int status, String outcome, String text) {}

  private Optional<String> fetch(String path) {
    return exchange(path).filter(told -> told.status() == OK).map(Told::text);
  }

  private Optional<Told> exchange(String path) {
    BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
    request.setHeader("Host", host);
    try {
      BackendConnection connection = pool.acquire(KEEP_ALIVE_NANOS, CONNECT_MILLIS);
      boolean whole = false;
      try {
        connection.setReadTimeout(TimeUnit.SECONDS.toNanos(1));
        connection.send(request);
        ClassicHttpResponse response = connection.receiveHead();
        connection.receiveBody(response);
        String text =
            new String(response.getEntity().getContent().readAllBytes(), StandardCharsets.UTF_8);
        whole = response.getFirstHeader("Connection") == null;
        String outcome = header(response, "Request-Outcome").orElse("");
        return Optional.of(new Told(response.getCode(), outcome, text.strip()));
      } finally {
        if (whole) {
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
