package org.magnoliaswitch.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.request.AttemptRunner;
import org.magnoliaswitch.core.request.Deadline;
import org.magnoliaswitch.core.request.Exchange;
import org.magnoliaswitch.core.request.Field;
import org.magnoliaswitch.core.request.InboundRequest;
import org.magnoliaswitch.core.request.Outcome;
import org.magnoliaswitch.core.request.Reply;
import org.magnoliaswitch.core.version.Execution;
import org.magnoliaswitch.core.version.RequestKind;

/** Turns a request of the listener into an {@link InboundRequest}. */
final class RequestReader {
  /** Bodies of at-most-once requests are held whole, for the fingerprint. */
  private static final int MAX_ONCE_BODY = 256 * 1024;

  private static final long MAX_BODY = 64L * 1024 * 1024;

  /** Longer bodies are not read to their end: some seconds of a caller's link, in bytes. */
  private static final long MAX_DISCARDED = 16L * 1024 * 1024;

  private static final int MAX_KEY_LENGTH = 200;
  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String GROUP_HEADER = "Caller-Group";

  /** What came of reading. */
  sealed interface Reading {
    /** A request to serve. */
    record Usable(InboundRequest request) implements Reading {}

    /** A request that is answered at once. */
    record Refused(Reply reply) implements Reading {}
  }

  private final EntrySettings settings;
  private final ControlPlane control;

  RequestReader(EntrySettings settings, ControlPlane control) {
    this.settings = settings;
    this.control = control;
  }

  Reading read(Request request) throws IOException {
    long now = control.clocks().nanos();
    String target = request.getHttpURI().getPathQuery();
    String path = Request.getPathInContext(request);
    Optional<ServiceState> service = control.registry().state().serviceOf(path);
    if (service.isEmpty()) {
      return control.registry().state().snapshot().version() == 0
          ? refused(UNAVAILABLE, "no configuration yet")
          : unknown("no service has this path");
    }
    String relative = path.substring(service.get().service().pathPrefix().length());
    Optional<RequestKind> kind =
        service.get().profile().kindOf(request.getMethod(), relative.isEmpty() ? "/" : relative);
    if (kind.isEmpty()) {
      return unknown("the profile has no kind for this request");
    }
    String key = request.getHeaders().get(KEY_HEADER);
    if (key != null && !validKey(key)) {
      return refused(BAD_REQUEST, "the Idempotency-Key is empty, too long or has odd characters");
    }
    if (request.getLength() > limit(kind.get())) {
      discard(request);
      return refused(TOO_LARGE, "the body is too large");
    }
    InboundRequest.Body body = body(request, kind.get());
    if (body instanceof InboundRequest.Body.Buffered whole
        && whole.content().length > limit(kind.get())) {
      return refused(TOO_LARGE, "the body is too large");
    }
    return new Reading.Usable(
        new InboundRequest(
            id(request),
            request.getMethod(),
            target,
            fields(request),
            body,
            service.get(),
            kind.get(),
            deadline(request, kind.get(), now),
            attempt(request),
            Optional.ofNullable(key),
            Request.getRemoteAddr(request)));
  }

  /** A version that nobody has vouched for lately may lack what a newer one has. */
  private Reading unknown(String reason) {
    return control.state().contact().isolated()
        ? refused(UNAVAILABLE, "the configuration may be old: " + reason)
        : refused(NOT_FOUND, reason);
  }

  private static long limit(RequestKind kind) {
    return kind.execution() == Execution.AT_MOST_ONCE ? MAX_ONCE_BODY : MAX_BODY;
  }

  /**
   * Reads a body that is not wanted. Answered while its caller is still sending, the connection is
   * reset and the answer lost: the caller would not know that nothing was executed.
   */
  private static void discard(Request request) throws IOException {
    if (request.getLength() <= MAX_DISCARDED) {
      Content.Source.asInputStream(request).transferTo(OutputStream.nullOutputStream());
    }
  }

  private static boolean validKey(String key) {
    return !key.isEmpty()
        && key.length() <= MAX_KEY_LENGTH
        && key.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '/');
  }

  private static InboundRequest.Body body(Request request, RequestKind kind) throws IOException {
    long length = request.getLength();
    if (length == 0) {
      return new InboundRequest.Body.Buffered(new byte[0]);
    }
    InputStream stream = Content.Source.asInputStream(request);
    boolean whole =
        kind.execution() == Execution.AT_MOST_ONCE
            || (length > 0 && length <= Exchange.MAX_BUFFERED_BYTES);
    if (!whole) {
      return new InboundRequest.Body.Streaming(stream, length);
    }
    byte[] content = stream.readNBytes(MAX_ONCE_BODY + 1);
    if (length >= 0 && content.length < length && content.length <= MAX_ONCE_BODY) {
      throw new IOException("the body was cut short");
    }
    return new InboundRequest.Body.Buffered(content);
  }

  private static String id(Request request) {
    String given = request.getHeaders().get(AttemptRunner.ID_HEADER);
    boolean usable = given != null && given.matches("[A-Za-z0-9._:-]{1,100}");
    return usable ? given : Long.toHexString(ThreadLocalRandom.current().nextLong());
  }

  private static Deadline deadline(Request request, RequestKind kind, long now) {
    long wanted = number(request.getHeaders().get(AttemptRunner.DEADLINE_HEADER), Long.MAX_VALUE);
    return Deadline.after(now, Math.max(1, Math.min(kind.deadlineMillis(), wanted)));
  }

  private static InboundRequest.Attempt attempt(Request request) {
    String given = request.getHeaders().get(AttemptRunner.ATTEMPT_HEADER);
    String group = request.getHeaders().get(GROUP_HEADER);
    int number = (int) Math.max(1, Math.min(1_000, number(given, 1)));
    return new InboundRequest.Attempt(number, given != null, group == null ? "" : group);
  }

  private static long number(@Nullable String text, long fallback) {
    return text != null && text.matches("[0-9]{1,9}") ? Long.parseLong(text) : fallback;
  }

  /** End-to-end fields; those that the Connection field names end here as well. */
  private List<Field> fields(Request request) {
    HttpFields received = request.getHeaders();
    Set<String> named = new HashSet<>();
    for (String value : received.getCSV(HttpHeader.CONNECTION, false)) {
      named.add(value.toLowerCase(Locale.ROOT));
    }
    List<Field> fields = new ArrayList<>();
    for (HttpField one : received) {
      String value = one.getValue() == null ? "" : one.getValue();
      Field field = new Field(one.getName(), value);
      boolean replaced = field.hasName("Host") || field.hasName("X-Request-Id");
      if (!field.hopByHop() && !replaced && !named.contains(one.getLowerCaseName())) {
        fields.add(field);
      }
    }
    fields.add(new Field("Forwarded", forwarded(request)));
    fields.add(new Field("Via", "1.1 magnoliaswitch"));
    return fields;
  }

  private String forwarded(Request request) {
    String host = request.getHeaders().get(HttpHeader.HOST);
    return "for=\""
        + Request.getRemoteAddr(request)
        + "\";by=\""
        + settings.host()
        + "\";proto="
        + (request.isSecure() ? "https" : "http")
        + (host == null ? "" : ";host=\"" + host.replace("\"", "") + '"');
  }

  private static Reading refused(int status, String reason) {
    int retryAfter = status == UNAVAILABLE ? 1 : 0;
    return new Reading.Refused(Reply.local(status, Outcome.NOT_EXECUTED, reason, retryAfter));
  }
}
