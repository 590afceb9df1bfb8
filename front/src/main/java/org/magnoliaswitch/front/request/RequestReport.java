package org.magnoliaswitch.front.request;

import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.EventLog;

/** Writes the log lines of one request and counts its ends. */
final class RequestReport {
  /** Outcome of a request that got the answer of a server that ran it. */
  static final String ANSWERED = "answered";

  /** Outcome of a request whose server ran it and failed. */
  static final String SERVER_FAILED = "server_failed";

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final Environment environment;
  private final String requestId;

  RequestReport(Environment environment, String requestId) {
    this.environment = environment;
    this.requestId = requestId;
  }

  /** The id that the caller gave its request; empty if it gave none. */
  String requestId() {
    return requestId;
  }

  /** A send that brought no answer. */
  void attempt(String event, String service, String server, String key, String cause) {
    environment.metrics().count("attempts", service, event);
    environment
        .log()
        .failure(event)
        .add("request", requestId)
        .add("service", service)
        .add("server", server)
        .add(key, cause)
        .write();
  }

  /**
   * A send whose connection ended before an answer. The line tells what the request is: its id is
   * new with each try, so it cannot show that one request was under the ends of many servers.
   */
  void broken(String service, String server, String reason, RequestIdentity identity) {
    environment.metrics().count("attempts", service, "broken");
    environment
        .log()
        .failure("broken")
        .add("request", requestId)
        .add("service", service)
        .add("server", server)
        .add("reason", reason)
        .add("identity", identity.toString())
        .write();
  }

  /** No server has room for the request, so it waits for some. */
  void waits(String service, RequestTimes times, double limitNanos, int inLine) {
    environment
        .log()
        .success("wait")
        .add("request", requestId)
        .add("service", service)
        .add("servers", environment.servers().of(service).size())
        .addDecimal("mean_held", environment.routeState().load(service).meanOutstanding())
        .add("chance", times.timeliness().name().toLowerCase(Locale.ROOT))
        .add("in_line", inLine)
        .add("limit_ms", (long) limitNanos / NANOS_PER_MILLI)
        .add("left_ms", millis(times.leftNanos()))
        .write();
  }

  /** The answer of a server is later than usual. */
  void overdue(String service, String server, double usualNanos) {
    environment.metrics().count("attempts", service, "overdue");
    environment
        .log()
        .success("overdue")
        .add("request", requestId)
        .add("service", service)
        .add("server", server)
        .add("usual_ms", (long) usualNanos / NANOS_PER_MILLI)
        .write();
  }

  /** A further send would have been useful but is not allowed. */
  void notRepeated(String service, String reason, long leftNanos) {
    environment.metrics().count("attempts", service, reason);
    environment
        .log()
        .failure("not_repeated")
        .add("request", requestId)
        .add("service", service)
        .add("reason", reason)
        .add("left_ms", millis(leftNanos))
        .write();
  }

  /**
   * The request is refused, and has not run.
   *
   * @param waitedNanos time since it was read
   * @param retryAfterNanos time after which the caller may come back
   */
  void refused(String service, String reason, long waitedNanos, long retryAfterNanos) {
    environment
        .log()
        .failure("refused")
        .add("request", requestId)
        .add("service", service)
        .add("reason", reason)
        .add("waited_ms", millis(waitedNanos))
        .add("retry_after_ms", millis(retryAfterNanos))
        .write();
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /**
   * The end of the request.
   *
   * @param outcome one word for what became of it
   * @param status status that the caller got; 0 when it had left
   * @param servers ids of the servers that it was sent to
   * @param tookNanos time since its last byte was read
   * @param objectiveLeftNanos time until its answer would be late; negative when it is
   */
  void end(
      String route,
      String service,
      String outcome,
      int status,
      int sends,
      Collection<String> servers,
      long tookNanos,
      long objectiveLeftNanos) {
    environment.metrics().count("requests", service, outcome);
    EventLog log = environment.log();
    EventLog.Line line = outcome.equals(ANSWERED) ? log.success("end") : log.failure("end");
    line.add("request", requestId)
        .add("route", route)
        .add("service", service)
        .add("outcome", outcome)
        .add("status", status)
        .add("sends", sends)
        .add("servers", String.join("/", servers))
        .add("took_ms", millis(tookNanos))
        .add("objective_left_ms", millis(objectiveLeftNanos))
        .add("version", environment.routes().get().version())
        .write();
  }
}
