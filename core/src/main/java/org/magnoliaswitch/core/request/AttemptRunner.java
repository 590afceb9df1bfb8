package org.magnoliaswitch.core.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpException;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.process.EjectionPolicy;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.LeavingServers;
import org.magnoliaswitch.core.process.LoadReport;
import org.magnoliaswitch.core.process.RefusedResponses;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.core.process.RetryAfterHeader;
import org.magnoliaswitch.core.process.ServerHandle;
import org.magnoliaswitch.core.process.Timeline;

/** Sends a request to one server and updates the state of the server from the result. */
public final class AttemptRunner {
  /** Request header with the time that remains before the deadline, in milliseconds. */
  public static final String DEADLINE_HEADER = "Request-Timeout-Ms";

  /** Request header with the number of the attempt. */
  public static final String ATTEMPT_HEADER = "Request-Attempt";

  /** Request header with the id of the request. */
  public static final String ID_HEADER = BackendConnection.ID_HEADER;

  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /**
   * Maximum time since the last answer on a connection that is reused for a request that must not
   * be executed twice.
   */
  private static final long FRESH_CONNECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long UNLIMITED_IDLE_NANOS = Long.MAX_VALUE;

  /**
   * The incarnation that answered is unknown; the empty name matches no server. Declared servers
   * keep their id over a restart, so an answer does not show that a process which was presumed to
   * have crashed is still running.
   */
  private static final String UNKNOWN_INCARNATION = "";

  private final Clocks clocks;
  private final Timeline timeline;
  private final RefusedResponses refusedResponses;
  private final LeavingServers leaving;
  private final Runnable onLeavingChange;

  public AttemptRunner(
      Clocks clocks,
      Timeline timeline,
      RefusedResponses refusedResponses,
      LeavingServers leaving,
      Runnable onLeavingChange) {
    this.refusedResponses = refusedResponses;
    this.clocks = clocks;
    this.timeline = timeline;
    this.leaving = leaving;
    this.onLeavingChange = onLeavingChange;
  }

  /** Notified when an attempt has waited longer than the hedge delay. */
  @FunctionalInterface
  public interface SlowAttemptListener {
    /** Called at most once for each attempt. */
    void onSlow();
  }

  /** One attempt, which can be cancelled by another thread. */
  public final class Attempt {
    private final InboundRequest request;
    private final ServerHandle server;
    private final int number;
    private final RequestCrashes crashes;
    private final Exchange exchange;
    private boolean warned;

    Attempt(InboundRequest request, ServerHandle server, int number, RequestCrashes crashes) {
      this.crashes = crashes;
      this.request = request;
      this.server = server;
      this.number = number;
      this.exchange = new Exchange(server.pool(), request.deadline(), clocks);
    }

    /** The server to which the attempt is sent. */
    public ServerHandle server() {
      return server;
    }

    /** Cancels the attempt by closing its connection. */
    public void cancel() {
      exchange.cancel();
    }

    /**
     * Sends the request and waits for the result.
     *
     * @param slowAfterNanos time without a response head after which the listener is notified,
     *     {@link Long#MAX_VALUE} for never
     */
    public AttemptResult run(long slowAfterNanos, SlowAttemptListener listener) {
      long started = clocks.nanos();
      server.load().requestStarted();
      recordEvent(EventKind.ATTEMPT_SENT, "attempt=" + number);
      AttemptResult result = performExchange(slowAfterNanos, listener);
      refusedResponses.record(
          exchange.refusedResponses(), request.service().service().name(), server.id());
      recordResult(result, started);
      recordEvent(EventKind.ATTEMPT_ENDED, "attempt=" + number + " result=" + describe(result));
      return result;
    }

    private AttemptResult performExchange(long slowAfterNanos, SlowAttemptListener listener) {
      try {
        exchange.connect(
            request.idempotent() ? UNLIMITED_IDLE_NANOS : FRESH_CONNECTION_NANOS,
            CONNECT_TIMEOUT_MILLIS,
            request.id());
        Verdict verdict = crashes.admit();
        // WAIT is rejected, too: waiting would block the thread and hold the connection.
        if (verdict == Verdict.REFUSED || verdict == Verdict.WAIT) {
          exchange.fail();
          return new AttemptResult.NotSent(Dispatcher.CRASHES_SERVERS);
        }
        warned = verdict == Verdict.TRIAL;
        exchange.send(Exchange.outbound(request, requestHeaders()));
        Exchange.Head head = awaitHead(slowAfterNanos, listener);
        if (head == null) {
          exchange.fail();
          return new AttemptResult.TimedOut();
        }
        recordLoadReport(head);
        Reply reply = exchange.receive(head, request.method());
        if (!request.service().profile().refusalStatuses().contains(reply.status())) {
          return new AttemptResult.Answered(reply);
        }
        applyRetryAfter(head);
        return new AttemptResult.Refused(reply.status());
      } catch (IOException | HttpException e) {
        exchange.fail();
        return failure(e);
      }
    }

    private Exchange.@Nullable Head awaitHead(long slowAfterNanos, SlowAttemptListener listener)
        throws IOException, HttpException {
      Exchange.Head head = exchange.awaitHead(slowAfterNanos);
      if (head != null || request.deadline().expired(clocks.nanos())) {
        return head;
      }
      listener.onSlow();
      return exchange.awaitHead(Long.MAX_VALUE);
    }

    private AttemptResult failure(Exception cause) {
      if (!exchange.mayHaveSentBytes()) {
        return new AttemptResult.NotSent(cause.toString());
      }
      return request.deadline().expired(clocks.nanos())
          ? new AttemptResult.TimedOut()
          : new AttemptResult.Broken(cause.toString());
    }

    private List<Field> requestHeaders() {
      long remainingMillis =
          TimeUnit.NANOSECONDS.toMillis(request.deadline().remaining(clocks.nanos()));
      List<Field> fields = new ArrayList<>();
      fields.add(new Field("Host", server.server().host() + ':' + server.server().port()));
      fields.add(new Field(ID_HEADER, request.id()));
      fields.add(new Field(DEADLINE_HEADER, String.valueOf(Math.max(1, remainingMillis))));
      int attempt = Math.max(number, request.attempt().number());
      fields.add(new Field(ATTEMPT_HEADER, String.valueOf(attempt)));
      return fields;
    }

    private void recordLoadReport(Exchange.Head head) {
      var header = head.response().getFirstHeader(LoadReport.HEADER);
      if (header == null || header.getValue() == null) {
        return;
      }
      Optional<LoadReport> parsed = LoadReport.parse(header.getValue());
      parsed.ifPresent(
          report -> {
            server.load().recordReport(report, clocks.nanos());
            request.service().admission().recordReport(report);
            updateLeaving(report.draining());
          });
    }

    private void applyRetryAfter(Exchange.Head head) {
      var header = head.response().getFirstHeader(RetryAfterHeader.NAME);
      OptionalLong nanos = RetryAfterHeader.nanos(header == null ? null : header.getValue());
      if (nanos.isPresent()) {
        server.load().extendPause(nanos.getAsLong(), clocks.nanos());
        recordEvent(
            EventKind.SERVER_PAUSED, "ms=" + TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong()));
      }
    }

    private void recordResult(AttemptResult result, long started) {
      long now = clocks.nanos();
      switch (result) {
        case AttemptResult.Answered answered -> {
          server.load().recordSuccess(now - started, now);
          crashes.recordAnswer(UNKNOWN_INCARNATION, started);
          request.service().counters().latency().add(now - started);
        }
        case AttemptResult.Refused refused -> {
          server.load().recordFailure();
          request.service().admission().recordRejection();
          ejectIfNeeded(now);
        }
        case AttemptResult.NotSent notSent -> {
          server.load().recordFailure();
          ejectIfNeeded(now);
        }
        case AttemptResult.Broken broken -> {
          recordBroken(now, started);
        }
        case AttemptResult.TimedOut timedOut -> {
          server.load().recordSlow(now - started);
          server.load().recordAbandoned();
          recordSilence(started);
        }
      }
    }

    private void recordBroken(long now, long started) {
      if (exchange.wasCancelled()) {
        // The other of two hedged attempts answered first, so the time that this one took shows
        // that its server is slow.
        server.load().recordSlow(now - started);
        server.load().recordAbandoned();
      } else {
        server.load().recordFailure();
        ejectIfNeeded(now);
        checkCrashed();
      }
    }

    /**
     * Checks whether the server's process has exited: a running process accepts a new connection.
     * The crash is recorded under the server's id, which survives a restart, so that repeated
     * crashes of one declared server during a request count once.
     */
    private void checkCrashed() {
      crashes.mayHaveCrashed(server.id());
      boolean crashed = server.pool().refusesConnections(CONNECT_TIMEOUT_MILLIS);
      crashes.recordConnectCheck(server.id(), crashed, warned);
      if (crashed) {
        String identity = crashes.identities().content().toString();
        recordEvent(EventKind.SERVER_ENDED, "identity=" + identity + " warned=" + warned);
      }
    }

    /**
     * Records an exchange that timed out, and stops the reuse of idle connections without a
     * response since it began, which may be silent too.
     */
    private void recordSilence(long started) {
      server.pool().distrustIdleSince(started);
      recordEvent(EventKind.CONNECTION_SILENT, "attempt=" + number);
    }

    private void ejectIfNeeded(long now) {
      EjectionPolicy.decide(server.load(), request.service().servers(), now)
          .ifPresent(
              ejection -> {
                server.load().eject(ejection);
                server.load().resetFailures();
                recordEvent(EventKind.SERVER_EJECTED, "count=" + ejection.count());
              });
    }

    private void updateLeaving(boolean draining) {
      boolean changed =
          draining
              ? leaving.markLeaving(server.id(), LeavingNotice.Source.REPORT)
              : leaving.markReturned(server.id(), LeavingNotice.Source.REPORT);
      if (changed) {
        recordEvent(EventKind.SERVER_LEAVING, "sign=report leaving=" + draining);
        onLeavingChange.run();
      }
    }

    private void recordEvent(EventKind kind, String detail) {
      timeline.record(kind, request.id(), request.service().service().name(), server.id(), detail);
    }
  }

  /** Creates an attempt without starting it. */
  public Attempt prepare(
      InboundRequest request, ServerHandle server, int number, RequestCrashes crashes) {
    return new Attempt(request, server, number, crashes);
  }

  private static String describe(AttemptResult result) {
    return switch (result) {
      case AttemptResult.Answered answered -> "answered status=" + answered.reply().status();
      case AttemptResult.Refused refused -> "refused status=" + refused.status();
      case AttemptResult.NotSent notSent -> "not_sent";
      case AttemptResult.Broken broken -> "broken";
      case AttemptResult.TimedOut timedOut -> "timed_out";
    };
  }
}
