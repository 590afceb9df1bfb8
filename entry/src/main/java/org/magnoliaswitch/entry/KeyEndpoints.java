package org.magnoliaswitch.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Fields;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.request.AttemptResult;
import org.magnoliaswitch.core.request.Deadline;
import org.magnoliaswitch.core.request.Field;
import org.magnoliaswitch.core.request.HolderForwarder;
import org.magnoliaswitch.core.request.InboundRequest;
import org.magnoliaswitch.core.request.Outcome;
import org.magnoliaswitch.core.request.OutcomeQuery;
import org.magnoliaswitch.core.request.Reply;
import org.magnoliaswitch.core.request.RequestService;

/** Endpoints for callers that the entry answers itself: readiness, issued keys and key outcomes. */
final class KeyEndpoints {
  static final String PREFIX = "/.well-known/magnoliaswitch/";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_KEYS = 100;
  private static final long QUERY_MILLIS = 1_000;

  private final ControlPlane control;
  private final RequestService requests;
  private final BooleanSupplier ready;

  KeyEndpoints(ControlPlane control, RequestService requests, BooleanSupplier ready) {
    this.control = control;
    this.requests = requests;
    this.ready = ready;
  }

  Reply serve(Request request, String path) {
    return switch (path.substring(PREFIX.length())) {
      case "ready" ->
          ready.getAsBoolean()
              ? text(OK, "ready\n")
              : Reply.local(UNAVAILABLE, Outcome.NOT_EXECUTED, "not ready", 1);
      case "keys" -> issueKeys(request);
      case "outcomes" -> queryOutcome(request);
      default -> Reply.local(NOT_FOUND, Outcome.NOT_EXECUTED, "no such path", 0);
    };
  }

  private Reply issueKeys(Request request) {
    if (!ready.getAsBoolean()) {
      return Reply.local(UNAVAILABLE, Outcome.NOT_EXECUTED, "not ready", 1);
    }
    int count = Math.clamp(parseNumber(parameter(request, "count").orElse("1")), 1, MAX_KEYS);
    StringBuilder keys = new StringBuilder();
    for (int i = 0; i < count; i++) {
      keys.append(control.issuer().issue()).append('\n');
    }
    return text(OK, keys.toString());
  }

  private Reply queryOutcome(Request request) {
    Optional<String> service = parameter(request, "service");
    Optional<String> key = parameter(request, "key");
    if (service.isEmpty() || key.isEmpty()) {
      return Reply.local(NOT_FOUND, Outcome.UNKNOWN, "name service and key", 0);
    }
    boolean forwarded = request.getHeaders().contains(HolderForwarder.HOP_HEADER);
    OutcomeQuery.Answer answer = requests.outcomes().lookup(service.get(), key.get(), forwarded);
    return switch (answer) {
      case OutcomeQuery.Answer.Resolved resolved -> resolved.reply();
      case OutcomeQuery.Answer.AskHolder askHolder ->
          queryHolder(request, service.get(), askHolder);
    };
  }

  /** Forwards the query to the instance that holds the key. */
  private Reply queryHolder(
      Request request, String service, OutcomeQuery.Answer.AskHolder askHolder) {
    ServiceState state = control.registry().state().services().get(service);
    if (state == null) {
      return Reply.local(NOT_FOUND, Outcome.UNKNOWN, "no such service", 0);
    }
    long now = control.clocks().nanos();
    InboundRequest query =
        new InboundRequest(
            "outcome",
            "GET",
            request.getHttpURI().getPathQuery(),
            List.of(),
            new InboundRequest.Body.Buffered(new byte[0]),
            state,
            state.profile().kinds().getFirst(),
            Deadline.after(now, QUERY_MILLIS),
            new InboundRequest.Attempt(1, false, ""),
            Optional.empty(),
            Request.getRemoteAddr(request));
    AttemptResult result = requests.forwarder().forward(query, askHolder.holder());
    return result instanceof AttemptResult.Answered answered
        ? answered.reply()
        : Reply.local(UNAVAILABLE, Outcome.UNKNOWN, "the key's holder does not answer", 1);
  }

  private static Optional<String> parameter(Request request, String name) {
    Fields fields = Request.extractQueryParameters(request);
    return Optional.ofNullable(fields.getValue(name));
  }

  private static int parseNumber(String text) {
    return text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : 1;
  }

  private static Reply text(int status, String body) {
    return new Reply(
        status,
        List.of(new Field("Content-Type", "text/plain"), new Field("Cache-Control", "no-store")),
        new Reply.Body.Buffered(body.getBytes(StandardCharsets.UTF_8)),
        Outcome.EXECUTED);
  }
}
