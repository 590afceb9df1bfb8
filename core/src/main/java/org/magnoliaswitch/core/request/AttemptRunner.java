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
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.process.EjectionPolicy;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.LeavingServers;
import org.magnoliaswitch.core.process.LoadReport;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.core.process.RetryAfterHeader;
import org.magnoliaswitch.core.process.ServerHandle;
import org.magnoliaswitch.core.process.Timeline;

/** Runs one attempt at one server and learns from how it ended. */
public final class AttemptRunner {
  /** Header by which the remaining time is passed on, in milliseconds. */
  public static final String DEADLINE_HEADER = "Request-Timeout-Ms";

  /** Header by which the number of the attempt is passed on. */
  public static final String ATTEMPT_HEADER = "Request-Attempt";

  /** Header that carries the request id. */
  public static final String ID_HEADER = "X-Request-Id";

  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** A connection that answered so recently is taken to be alive for work that must not be lost. */
  private static final long FRESH_CONNECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long UNLIMITED_IDLE_NANOS = Long.MAX_VALUE;

  /**
   * Servers are declared with an id that they keep over a restart, so an answer does not show that
   * the process lives which was believed to have ended.
   */
  private static final String ANY_INCARNATION = "";

  private final Clocks clocks;
  private final Timeline timeline;
  private final LeavingServers leaving;
  private final Runnable onLeavingChange;

  public AttemptRunner(
      Clocks clocks, Timeline timeline, LeavingServers leaving, Runnable leavingNews) {
    this.clocks = clocks;
    this.timeline = timeline;
    this.leaving = leaving;
    this.onLeavingChange = leavingNews;
  }

  /** Called while an attempt waits longer than the hedge delay. */
  @FunctionalInterface
  public interface SlowAttemptListener {
    /** Told once. */
    void onSlow();
  }

  /** One attempt that can be cancelled from another thread. */
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

    /** The server tried. */
    public ServerHandle server() {
      return server;
    }

    /** Closes the connection under the attempt. */
    public void cancel() {
      exchange.cancel();
    }

    /**
     * Runs the attempt to its end.
     *
     * @param slowAfterNanos wait after which the listener is told, {@link Long#MAX_VALUE} for never
     */
    public AttemptResult run(long slowAfterNanos, SlowAttemptListener listener) {
      long started = clocks.nanos();
      server.load().sent();
      recordEvent(EventKind.ATTEMPT_SENT, "attempt=" + number);
      AttemptResult result = performExchange(slowAfterNanos, listener);
      recordResult(result, started);
      recordEvent(EventKind.ATTEMPT_ENDED, "attempt=" + number + " result=" + describe(result));
      return result;
    }

    private AttemptResult performExchange(long slowAfterNanos, SlowAttemptListener listener) {
      try {
        exchange.connect(
            request.idempotent() ? UNLIMITED_IDLE_NANOS : FRESH_CONNECTION_NANOS,
            CONNECT_TIMEOUT_MILLIS);
        Verdict verdict = crashes.admit();
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
      long left = TimeUnit.NANOSECONDS.toMillis(request.deadline().remaining(clocks.nanos()));
      List<Field> fields = new ArrayList<>();
      fields.add(new Field("Host", server.server().host() + ':' + server.server().port()));
      fields.add(new Field(ID_HEADER, request.id()));
      fields.add(new Field(DEADLINE_HEADER, String.valueOf(Math.max(1, left))));
      int attempt = Math.max(number, request.attempt().number());
      fields.add(new Field(ATTEMPT_HEADER, String.valueOf(attempt)));
      return fields;
    }

    private void recordLoadReport(Exchange.Head head) {
      var header = head.response().getFirstHeader(LoadReport.HEADER);
      if (header == null || header.getValue() == null) {
        return;
      }
      Optional<LoadReport> report = LoadReport.parse(header.getValue());
      report.ifPresent(
          told -> {
            server.load().reported(told, clocks.nanos());
            request.service().admission().reported(told);
            updateLeaving(told.draining());
          });
    }

    private void applyRetryAfter(Exchange.Head head) {
      var header = head.response().getFirstHeader(RetryAfterHeader.NAME);
      OptionalLong nanos = RetryAfterHeader.nanos(header == null ? null : header.getValue());
      if (nanos.isPresent()) {
        server.load().pause(nanos.getAsLong(), clocks.nanos());
        recordEvent(
            EventKind.SERVER_PAUSED, "ms=" + TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong()));
      }
    }

    private void recordResult(AttemptResult result, long started) {
      long now = clocks.nanos();
      switch (result) {
        case AttemptResult.Answered answered -> {
          server.load().answered(now - started, now);
          crashes.answered(ANY_INCARNATION, started);
          request.service().counters().latency().add(now - started);
        }
        case AttemptResult.Refused refused -> {
          server.load().failed();
          request.service().admission().refused();
          ejectIfNeeded(now);
        }
        case AttemptResult.NotSent notSent -> {
          server.load().failed();
          ejectIfNeeded(now);
        }
        case AttemptResult.Broken broken -> {
          recordBroken(now, started);
        }
        case AttemptResult.TimedOut timedOut -> {
          server.load().slow(now - started);
          server.load().abandoned();
          recordSilence(started);
        }
      }
    }

    private void recordBroken(long now, long started) {
      if (exchange.wasCancelled()) {
        // The other attempt won. How long this one took is a first-hand sign of a slow server.
        server.load().slow(now - started);
        server.load().abandoned();
      } else {
        server.load().failed();
        ejectIfNeeded(now);
        checkCrashed();
      }
    }

    /**
     * Whether the server's process is gone shows by the next connection: one that lives takes it.
     */
    private void checkCrashed() {
      crashes.perhapsEnded(server.id());
      boolean ended = server.pool().refusesConnections(CONNECT_TIMEOUT_MILLIS);
      crashes.lookedAt(server.id(), ended, warned);
      if (ended) {
        String identity = crashes.identities().content().toString();
        recordEvent(EventKind.SERVER_ENDED, "identity=" + identity + " warned=" + warned);
      }
    }

    /** An exchange without any sign of life casts doubt on connections of the same age. */
    private void recordSilence(long started) {
      server.pool().distrustIdleSince(started);
      recordEvent(EventKind.CONNECTION_SILENT, "attempt=" + number);
    }

    private void ejectIfNeeded(long now) {
      EjectionPolicy.decide(server.load(), request.service().servers(), now)
          .ifPresent(
              ejection -> {
                server.load().eject(ejection);
                server.load().forgive();
                recordEvent(EventKind.SERVER_EJECTED, "count=" + ejection.count());
              });
    }

    private void updateLeaving(boolean draining) {
      boolean news =
          draining
              ? leaving.noticed(server.id(), LeavingNotice.Source.REPORT)
              : leaving.returned(server.id(), LeavingNotice.Source.REPORT);
      if (news) {
        recordEvent(EventKind.SERVER_LEAVING, "sign=report leaving=" + draining);
        onLeavingChange.run();
      }
    }

    private void recordEvent(EventKind kind, String detail) {
      timeline.record(kind, request.id(), request.service().service().name(), server.id(), detail);
    }
  }

  /** Prepares an attempt. */
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
