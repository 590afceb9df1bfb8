package org.magnoliaswitch.front.request;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.EventLog;

/** Writes the log lines and counts the metrics of one request. */
final class RequestReport {
  /** Outcome of a request that a server executed and answered. */
  static final String ANSWERED = "answered";

  /** Outcome of a request that a server executed and answered with a failure. */
  static final String SERVER_FAILED = "server_failed";

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final Environment environment;
  private final String requestId;
  private Optional<TeamAccess> access = Optional.empty();

  RequestReport(Environment environment, String requestId) {
    this.environment = environment;
    this.requestId = requestId;
  }

  /** The id that the caller set on its request; empty if it set none. */
  String requestId() {
    return requestId;
  }

  /** Sets the access of the request, whose team the lines name if the configuration has teams. */
  void team(TeamAccess teamAccess) {
    if (teamAccess instanceof KeyedAccess) {
      access = Optional.of(teamAccess);
    }
  }

  /** Reports an attempt at a server that was unreachable or rejected the request. */
  void attemptFailed(String event, String service, String server, String key, String cause) {
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
   * Reports an attempt whose connection broke before a response. The line contains the identity of
   * the request: its id changes with each retry of the caller, so the id cannot show that one
   * request was present in the crashes of many servers.
   */
  void attemptBroken(String service, String server, String reason, RequestIdentity identity) {
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

  /** Reports that no server has capacity for the request, so that it waits. */
  void requestQueued(String service, RequestTimes times, double limitNanos, int queueLength) {
    environment
        .log()
        .success("wait")
        .add("request", requestId)
        .add("service", service)
        .add("servers", environment.servers().of(service).size())
        .addDecimal("mean_held", environment.routeState().load(service).meanOutstanding())
        .add("chance", times.timeliness().name().toLowerCase(Locale.ROOT))
        .add("in_line", queueLength)
        .add("limit_ms", (long) limitNanos / NANOS_PER_MILLI)
        .add("left_ms", millis(times.remainingNanos()))
        .write();
  }

  /** Reports that the request is suspected of crashing servers and waits for the verdict. */
  void requestHeld(String service) {
    environment.log().success("held").add("request", requestId).add("service", service).write();
  }

  /** Reports an attempt that ended before it was written because its server may not get it now. */
  void attemptNotAdmitted(String service, String server) {
    environment.metrics().count("attempts", service, "not_admitted");
    environment
        .log()
        .success("not_admitted")
        .add("request", requestId)
        .add("service", service)
        .add("server", server)
        .write();
  }

  /** Reports a response that is later than usual. */
  void attemptOverdue(String service, String server, double usualLatencyNanos) {
    environment.metrics().count("attempts", service, "overdue");
    environment
        .log()
        .success("overdue")
        .add("request", requestId)
        .add("service", service)
        .add("server", server)
        .add("usual_ms", (long) usualLatencyNanos / NANOS_PER_MILLI)
        .write();
  }

  /** Reports that a further attempt would have been useful but is not allowed. */
  void furtherAttemptDenied(String service, String reason, long remainingNanos) {
    environment.metrics().count("attempts", service, reason);
    environment
        .log()
        .failure("not_repeated")
        .add("request", requestId)
        .add("service", service)
        .add("reason", reason)
        .add("left_ms", millis(remainingNanos))
        .write();
  }

  /**
   * Reports that the request is refused and was not executed.
   *
   * @param waitedNanos time since it was read
   * @param retryAfterNanos time after which the caller may retry
   */
  void requestRefused(String service, String reason, long waitedNanos, long retryAfterNanos) {
    EventLog.Line line =
        environment
            .log()
            .failure("refused")
            .add("request", requestId)
            .add("service", service)
            .add("reason", reason)
            .add("waited_ms", millis(waitedNanos))
            .add("retry_after_ms", millis(retryAfterNanos));
    if (access.isPresent()) {
      line.add("confirmation_age_ms", millis(environment.confirmation().ageNanos()));
    }
    addTeam(line);
    line.write();
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /**
   * Reports the end of the request.
   *
   * @param outcome the outcome, a single word
   * @param status status that the caller received; 0 if it had left
   * @param attempts number of attempts
   * @param servers ids of the servers to which it was sent
   * @param tookNanos time since its last byte was read
   * @param objectiveRemainingNanos time until its response would be late; negative once it is
   */
  void requestEnded(
      String route,
      String service,
      String outcome,
      int status,
      int attempts,
      Collection<String> servers,
      long tookNanos,
      long objectiveRemainingNanos) {
    environment.metrics().count("requests", service, outcome);
    EventLog log = environment.log();
    EventLog.Line line = outcome.equals(ANSWERED) ? log.success("end") : log.failure("end");
    line.add("request", requestId)
        .add("route", route)
        .add("service", service)
        .add("outcome", outcome)
        .add("status", status)
        .add("sends", attempts)
        .add("servers", String.join("/", servers))
        .add("took_ms", millis(tookNanos))
        .add("objective_left_ms", millis(objectiveRemainingNanos))
        .add("version", environment.routes().get().version());
    addTeam(line);
    line.write();
    access
        .map(TeamAccess::team)
        .filter(team -> !team.isEmpty())
        .ifPresent(team -> environment.metrics().countTeam(team, outcome));
  }

  private void addTeam(EventLog.Line line) {
    access
        .filter(known -> !known.team().isEmpty())
        .ifPresent(
            known -> {
              line.add("team", known.team()).add("quota_age_ms", known.quotaAgeMillis());
              known
                  .refusedBy()
                  .ifPresent(
                      state -> line.add("quota_state", state.name().toLowerCase(Locale.ROOT)));
            });
  }
}
