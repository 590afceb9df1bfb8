package org.magnoliaswitch.front.request;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.process.Environment;

/** Writes the log lines of one request and counts its ends. */
final class RequestReport {
  /** Outcome of a request that got the answer of a server that ran it. */
  static final String ANSWERED = "answered";

  private final Environment environment;
  private final String requestId;

  RequestReport(Environment environment, String requestId) {
    this.environment = environment;
    this.requestId = requestId;
  }

  /** A send that brought no answer. */
  void attempt(String event, String service, String server, String cause) {
    environment.metrics().count("attempts", service, event);
    environment
        .log()
        .trouble(event, "request=%s service=%s server=%s %s", requestId, service, server, cause);
  }

  /**
   * The end of the request.
   *
   * @param outcome one word for what became of it
   * @param status status that the caller got; 0 when it had left
   * @param servers ids of the servers that it was sent to
   * @param tookNanos time since its last byte was read
   */
  void end(
      String route,
      String service,
      String outcome,
      int status,
      int sends,
      Collection<String> servers,
      long tookNanos) {
    environment.metrics().count("requests", service, outcome);
    String format =
        "request=%s route=%s service=%s outcome=%s status=%d sends=%d servers=%s took_ms=%d"
            + " version=%d";
    Object[] values = {
      requestId,
      route,
      service,
      outcome,
      status,
      sends,
      String.join("/", servers),
      TimeUnit.NANOSECONDS.toMillis(tookNanos),
      environment.routes().get().version()
    };
    if (outcome.equals(ANSWERED)) {
      environment.log().routine("end", format, values);
    } else {
      environment.log().trouble("end", format, values);
    }
  }
}
